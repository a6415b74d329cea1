"""Node membership, probing of backend servers, and planning of groups."""

"""A node that routes requests to servers that register themselves."""

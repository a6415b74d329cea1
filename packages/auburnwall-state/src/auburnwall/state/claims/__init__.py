"""Claims of idempotency keys: the first claim of a key in its log stream wins."""

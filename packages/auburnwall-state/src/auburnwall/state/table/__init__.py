"""Tables of the platform's log: the newest value of each key, kept for good."""

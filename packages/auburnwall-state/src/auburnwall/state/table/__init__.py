"""Tables of the platform's log, which retain the newest value of each key."""

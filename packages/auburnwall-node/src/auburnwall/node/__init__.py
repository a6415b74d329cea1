"""A node of Auburnwall and its command, ``auburnwalld``."""

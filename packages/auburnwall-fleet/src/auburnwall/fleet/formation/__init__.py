"""Forms, opens, repairs and closes groups of servers that register themselves."""

"""A node that serves routes in front of servers that register themselves."""

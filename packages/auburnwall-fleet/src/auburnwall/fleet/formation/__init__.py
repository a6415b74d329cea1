"""Form, open, repair and close groups of servers that register themselves."""

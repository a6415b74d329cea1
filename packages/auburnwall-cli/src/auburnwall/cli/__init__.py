"""The ``auburnwall`` program, the command line of the operators."""

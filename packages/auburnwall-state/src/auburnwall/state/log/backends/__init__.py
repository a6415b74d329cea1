"""Implementations of the log client."""

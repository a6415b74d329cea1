"""Implementations of the engine interface."""

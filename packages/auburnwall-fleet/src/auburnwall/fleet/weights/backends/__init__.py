"""Implementations of the weight store interface."""

"""Implementations of the VM list interface."""

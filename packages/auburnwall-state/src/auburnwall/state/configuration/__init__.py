"""Operators' configuration: files, schema, validation and selection rules."""

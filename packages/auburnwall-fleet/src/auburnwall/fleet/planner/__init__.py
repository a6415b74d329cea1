"""Planners that decide which VMs form which groups."""

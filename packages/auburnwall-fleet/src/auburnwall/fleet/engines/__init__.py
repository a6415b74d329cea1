"""Adapters to model engines and to services without groups on backend server VMs."""

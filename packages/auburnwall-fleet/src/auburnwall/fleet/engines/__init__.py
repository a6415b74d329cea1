"""Adapters to the model engines and plain services on backend server VMs."""

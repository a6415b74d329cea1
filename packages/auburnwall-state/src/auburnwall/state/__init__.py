"""Shared state: log client, records, fold, leases, snapshots and claims."""

"""Demos that run the whole system on loopback addresses and print each step."""

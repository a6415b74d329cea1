"""Addresses of processes, of the form ``10.1.0.40:8227``."""

import ipaddress


def split_address(address):
    """Return the host and the port of an address; raise ``ValueError``.

    The host is an IPv4 address, so that connecting needs no name lookup.

    >>> split_address("10.1.0.40:8227")
    ('10.1.0.40', 8227)
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 2**16):
        raise ValueError(f"bad port in address {address[:64]!a}")
    return host, int(port)

"""Addresses of processes, of the form ``10.1.0.40:8227``."""

import ipaddress

from .digits import parse_digits

MAX_PORT = 2**16 - 1


def split_address(address):
    """Return the host and the port of an address; raise ``ValueError``.

    The host is an IPv4 address, so that connecting needs no name lookup.

    >>> split_address("10.1.0.40:8227")
    ('10.1.0.40', 8227)
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    number = parse_digits(port, MAX_PORT + 1)
    if number is None or not 0 < number <= MAX_PORT:
        raise ValueError(f"bad port in address {address[:64]!a}")
    return host, number

"""Rendezvous hashing.

All processes compute the same ranking of candidates for a key. Adding or removing a
candidate doesn't change the order of the others.
"""

import xxhash


def score(key, candidate):
    """Return the score of ``candidate`` for ``key``; the highest is the best."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def ranked(key, candidates):
    """Return ``candidates`` from the best to the worst for ``key``."""
    return sorted(candidates, key=lambda candidate: -score(key, candidate))


def owner(key, candidates):
    """Return the best candidate for ``key``, or ``None`` if there is none."""
    return max(candidates, key=lambda candidate: score(key, candidate), default=None)

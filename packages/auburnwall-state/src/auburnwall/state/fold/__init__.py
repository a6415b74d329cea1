"""Deterministic fold of the control stream.

``State`` is the state that all nodes share. ``fold`` applies one record to it. The
result depends only on the earlier records, so every reader of the stream computes the
same state, even if several nodes append concurrently.

    >>> state = State()
    >>> verdict = fold(state, record)
"""

from .dispatch import fold
from .model import Group, Lease, Node, State

__all__ = ["Group", "Lease", "Node", "State", "fold"]

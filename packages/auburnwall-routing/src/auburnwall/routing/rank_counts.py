"""Counts of refused and evicted requests by their rank."""

from abc import ABC, abstractmethod


class RankCounts(ABC):
    """Counts the refusals and evictions of requests by their rank."""

    @abstractmethod
    def record_refusal(self, rank):
        """Record that a request got no slot and was refused."""

    @abstractmethod
    def record_eviction(self, rank):
        """Record that a waiting request left a queue in favour of others."""


class NoCounts(RankCounts):
    """Counts nothing."""

    def record_refusal(self, rank):
        """Do nothing."""

    def record_eviction(self, rank):
        """Do nothing."""

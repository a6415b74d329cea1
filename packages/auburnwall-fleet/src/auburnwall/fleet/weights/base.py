"""Interface to the weight store.

It provides only the sizes of weights, for planning, never the weights.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple


class Manifest(NamedTuple):
    """Size of a version's weights and the rate at which the store sends them."""

    model: str
    version: str
    total_bytes: int
    bytes_per_s: int


class WeightStore(ABC):
    """Describe the model versions that backend servers can load."""

    @abstractmethod
    def manifest(self, model, version):
        """Return the ``Manifest`` of a version.

        Raises ``WeightStoreError``.
        """

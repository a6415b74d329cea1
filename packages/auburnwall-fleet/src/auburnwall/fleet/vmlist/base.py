"""Interface to the platform's VM list."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class VmEntry(NamedTuple):
    """A VM; ``leaving`` means that the platform is about to remove it."""

    name: str
    address: str
    data_center: str
    fabric_domain: str
    leaving: bool


class VmList(ABC):
    """Read the VM list.

    The list lags behind: a VM may be gone or back some time before the list shows it.
    """

    @abstractmethod
    def fetch(self):
        """Return the entries by name.

        Raises ``VmListUnavailableError``.
        """

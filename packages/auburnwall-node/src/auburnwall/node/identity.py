"""Identity of a node."""

from typing import NamedTuple


class Identity(NamedTuple):
    """A node's name, incarnation and addresses, as its join record states them.

    ``incarnation`` differs for each start of the process.
    """

    node: str
    incarnation: str
    address: str
    peer_address: str
    data_center: str

"""The adapters through which a routed node uses its platform."""

from typing import NamedTuple


class Platform(NamedTuple):
    """The adapters through which a routed node uses its platform.

    ``engine`` is the client that asks the model servers for their state. ``codec``
    decodes the operators' table and ``decode_registration`` a server's entry;
    ``is_same_registration`` compares two entries of a server. ``operator_order`` and
    ``registration_order`` are the ``RecordOrder`` of these tables, ``None`` if only
    the offsets tell which record is newer.
    ``directory`` is a ``DirectoryCodec``; ``ready_path`` is the path for readiness.
    """

    store: object
    engine: object
    header_names: object
    codec: object
    decode_registration: object
    is_same_registration: object
    directory: object
    ready_path: str
    operator_order: object = None
    registration_order: object = None

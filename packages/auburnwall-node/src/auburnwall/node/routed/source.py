"""The configuration in force, and which data centres get nothing."""

from auburnwall.base.logs import event
from auburnwall.routing.routes import RouteTable


class ConfigSource:
    """Follow the operators' table.

    ``decode(key, value)`` returns a ``RoutingConfig`` or the name of a data centre that
    is taken out, ``None`` for other keys, and raises ``ValueError``. A version that is
    older than the one in force is never taken.
    """

    def __init__(self, replica, codec):
        self.table = None
        self.data_centers_out = set()
        self._codec = codec
        replica.listeners.append(self._take)

    @property
    def config(self):
        """Return the ``RoutingConfig`` in force, or ``None``."""
        return self.table.config if self.table else None

    def _take(self, record):
        data_center = self._codec.evacuated(record.key)
        if data_center is not None:
            self._mark(data_center, record)
        elif self._codec.is_config(record.key) and record.value is not None:
            self._take_config(record)

    def _mark(self, data_center, record):
        out = record.value is not None
        if out:
            self.data_centers_out.add(data_center)
        else:
            self.data_centers_out.discard(data_center)
        event(
            "data centre out" if out else "data centre back",
            data_center=data_center,
            offset=record.offset,
        )

    def _take_config(self, record):
        try:
            config = self._codec.config(record.value)
        except ValueError as exc:
            event("bad configuration", offset=record.offset, why=str(exc))
            return
        known = self.config
        if known is not None and config.version <= known.version:
            event("old configuration", offset=record.offset, version=config.version)
            return
        self.table = RouteTable(config)
        event(
            "configuration in force",
            version=config.version,
            offset=record.offset,
            routes=len(config.routes),
            instead_of=known.version if known else None,
        )

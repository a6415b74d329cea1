"""The current configuration and the data centres that are out of service."""

from auburnwall.base.logs import event
from auburnwall.routing.routes import RouteTable


class ConfigSource:
    """Keep the configuration and the evacuated data centres of the operators' table.

    ``table`` is the ``RouteTable`` of the current configuration, or ``None``.
    ``codec.evacuated_data_center(key)`` returns the data centre that a record takes out
    of service, or ``None``. ``codec.is_config(key)`` returns whether a record holds the
    configuration. ``codec.decode_config(value)`` returns it as a ``RoutingConfig`` or
    raises an error, usually ``ValueError``. A configuration is applied only if its
    version is higher than the current one.
    """

    def __init__(self, replica, codec):
        self.table = None
        self.evacuated_data_centers = set()
        self._codec = codec
        replica.listeners.append(self._apply)

    @property
    def config(self):
        """Return the current ``RoutingConfig``, or ``None``."""
        return self.table.config if self.table else None

    def _apply(self, record):
        data_center = self._codec.evacuated_data_center(record.key)
        if data_center is not None:
            self._apply_data_center(data_center, record)
        elif self._codec.is_config(record.key) and record.value is not None:
            self._apply_config(record)

    def _apply_data_center(self, data_center, record):
        out = record.value is not None
        if out:
            self.evacuated_data_centers.add(data_center)
        else:
            self.evacuated_data_centers.discard(data_center)
        event(
            "data centre out" if out else "data centre back",
            data_center=data_center,
            offset=record.offset,
        )

    def _apply_config(self, record):
        try:
            config = self._codec.decode_config(record.value)
        except Exception as exc:
            # The configuration in force stays, and later ones must still be read.
            event("bad configuration", offset=record.offset, why=str(exc) or repr(exc))
            return
        current = self.config
        if current is not None and config.version <= current.version:
            event("old configuration", offset=record.offset, version=config.version)
            return
        self.table = RouteTable(config)
        event(
            "configuration in force",
            version=config.version,
            offset=record.offset,
            routes=len(config.routes),
            instead_of=current.version if current else None,
        )

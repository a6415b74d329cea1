"""The current configuration and the data centres that are out of service."""

from typing import NamedTuple

from auburnwall.base.logs import event, warn
from auburnwall.routing.routes import RouteTable
from auburnwall.state.table.replica import OUTDATED

from .peer_status import ConfigStatus

# What becomes of a version of the configuration.
IN_FORCE, IN_FORCE_LATE = "in force", "late"
REFUSED, SKIPPED, HELD = "refused", "skipped", "held back"


class ConfigOrigin(NamedTuple):
    """Where the configuration in force was read: its offset, and the source.

    ``source`` is as in ``TableReplica``.
    """

    offset: int
    source: str


class PendingVersion(NamedTuple):
    """A version in the node's copy that is not in force, and why.

    ``version`` is ``None`` if it cannot be read. ``why`` is ``REFUSED`` (it cannot be
    decoded), ``SKIPPED`` (one as high or higher is in force) or ``HELD`` (the copy
    holds it back after the store has lost records).
    """

    version: int | None
    offset: int
    why: str


class ConfigSource:
    """Keep the configuration and the evacuated data centres of the operators' table.

    ``table`` is the ``RouteTable`` of the current configuration, or ``None``.
    ``codec.evacuated_data_center(key)`` returns the data centre that a record takes out
    of service, or ``None``. ``codec.is_config(key)`` returns whether a record holds the
    configuration. ``codec.decode_config(value)`` returns it as a ``RoutingConfig`` or
    raises an error, usually ``ValueError``. ``codec.version(value)`` returns its
    version, ``None`` if that cannot be read. A configuration is applied only if its
    version is higher than the current one, and must be in force ``notice_s`` seconds
    after it was written; ``None`` is no limit. ``record_version(outcome)`` is called
    for each version that is read.

    ``pending`` is the ``PendingVersion`` that was read last, if none that came after it
    is in force; otherwise ``None``. ``is_confirmed()`` is whether peers had the time to
    tell a higher version after the start; see ``VersionConfirmation``.
    """

    def __init__(self, replica, codec, notice_s=None, record_version=lambda o: None):
        self.table = None
        self.origin = None
        self.pending = None
        self.is_confirmed = lambda: True
        self.evacuated_data_centers = set()
        self._replica = replica
        self._codec = codec
        self.notice_s = notice_s
        self._record_version = record_version
        replica.listeners.append(self._apply)
        replica.held_listeners.append(self._note_held)

    @property
    def config(self):
        """Return the current ``RoutingConfig``, or ``None``."""
        return self.table.config if self.table else None

    def version(self):
        """Return the version in force, or ``None``."""
        return self.config.version if self.config else None

    def status(self):
        """Return the ``ConfigStatus`` of this node, for its peers."""
        return ConfigStatus(self.version(), self.is_current())

    def newest_version(self):
        """Return the highest version that was read, -1 if there is none.

        It may be one that could not be decoded.
        """
        versions = self.version(), self.pending.version if self.pending else None
        return max((v for v in versions if v is not None), default=-1)

    def is_current(self):
        """Return whether the version in force is known to be recent enough.

        The copy of the operators' table is no older than allowed, and was confirmed
        after the node's start.
        """
        return self.is_confirmed() and self._is_in_time()

    def _is_in_time(self):
        return self.notice_s is None or self._replica.is_in_time(self.notice_s)

    def provenance(self):
        """Return what this node goes by, as fields of a log line or an error response.

        ``config_age_s`` is the time since the copy of the operators' table was known to
        be complete: a version that is younger may be missing. The pending version is
        one that the copy holds and that is not in force.
        """
        if self.table is None:
            return {}
        age_s = self._replica.age_s()
        return {
            "config_version": self.config.version,
            "config_offset": self.origin.offset,
            "config_age_s": None if age_s is None else round(age_s, 3),
            "config_source": self.origin.source,
            "config_pending_version": self.pending.version if self.pending else None,
            "config_pending_why": self.pending.why if self.pending else None,
        }

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
            self._refuse(record, exc)
            return
        current = self.config
        if current is not None and config.version <= current.version:
            self._skip(config.version, record)
            return
        self.table = RouteTable(config)
        self.origin = ConfigOrigin(record.offset, self._replica.source)
        self.pending = None
        self._log_in_force(current)

    def _set_pending(self, version, record, why):
        self._record_version(why)
        self.pending = PendingVersion(version, record.offset, why)

    def _note_held(self, record, why):
        """Log a version that the copy holds and does not put in force."""
        if not self._codec.is_config(record.key) or record.value is None:
            return
        version = self._codec.version(record.value)
        if why == OUTDATED:
            self._skip(version, record)
        else:
            self._pass_over("configuration held back", version, record, HELD)

    def _skip(self, version, record):
        offset = self.origin.offset if self.origin else None
        self._pass_over(
            "old configuration", version, record, SKIPPED, in_force_offset=offset
        )

    def _pass_over(self, name, version, record, why, **fields):
        """Log a version that is not put in force, as the event ``name``."""
        self._set_pending(version, record, why)
        event(
            name,
            offset=record.offset,
            version=version,
            source=self._replica.source,
            in_force=self.version(),
            **fields,
        )

    def _refuse(self, record, exc):
        self._set_pending(self._codec.version(record.value), record, REFUSED)
        warn(
            "bad configuration",
            offset=record.offset,
            source=self._replica.source,
            why=str(exc) or repr(exc),
            in_force=self.version(),
        )

    def _log_in_force(self, current):
        """Log the version in force, and how long ago it was written at the most.

        That is the age of the copy before this version was read.
        """
        age_s = self._replica.age_s()
        is_late = age_s is not None and not self._is_in_time()
        self._record_version(IN_FORCE_LATE if is_late else IN_FORCE)
        event(
            "configuration in force",
            version=self.config.version,
            offset=self.origin.offset,
            routes=len(self.config.routes),
            instead_of=current.version if current else None,
            source=self.origin.source,
            at_most_s=None if age_s is None else round(age_s, 3),
            late=is_late,
        )

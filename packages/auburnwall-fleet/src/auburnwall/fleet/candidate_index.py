"""Where requests may go now: open groups of each model, servers of plain services."""

from typing import NamedTuple

from .formation.records import SERVING
from .registrations import OPEN


class Candidate(NamedTuple):
    """A server that takes requests, by itself or as the head of a group.

    ``name`` is the group's name, or the server's where it stands alone. ``born`` is
    the server's incarnation.
    """

    name: str
    server: str
    born: int
    address: str
    data_center: str
    slots: int


class CandidateIndex:
    """Candidates by service and model, from registrations and the fleet's table.

    A group is a candidate while its record says that it serves and its head says that
    it is open at the record's epoch.
    """

    def __init__(self, registry, state, data_centers_out):
        self._registry = registry
        self._state = state
        self._data_centers_out = data_centers_out
        self._built_for = None
        self._groups = {}
        self._alone = {}

    def by_model(self, service, model):
        """Return the candidates for a model of a service with engines."""
        self._rebuild()
        return self._groups.get((service, model), [])

    def by_service(self, service):
        """Return the servers of a plain service."""
        self._rebuild()
        return self._alone.get(service, [])

    def forming_count(self, service, model):
        """Return how many groups of the model are not open yet."""
        wanted = sum(
            group.phase == SERVING and group.service == service and group.model == model
            for group in self._state.groups.values()
        )
        return wanted - len(self.by_model(service, model))

    def _rebuild(self):
        self._registry.expire()
        out = self._data_centers_out()
        version = self._registry.changes, self._state.changes, frozenset(out)
        if version == self._built_for:
            return
        self._built_for = version
        self._groups, self._alone = {}, {}
        for group in self._state.groups.values():
            if group.phase == SERVING and (found := self._head(group, out)):
                place = group.service, group.model
                self._groups.setdefault(place, []).append(found)
        for entry in self._registry.servers.values():
            usable = self._registry.usable(entry.server)
            if (
                usable
                and entry.data_center not in out
                and entry.group_membership is None
            ):
                found = _candidate(entry.server, entry)
                self._alone.setdefault(entry.service, []).append(found)

    def _head(self, group, out):
        entry = self._registry.usable(group.head.server)
        if entry is None or entry.data_center in out:
            return None
        group_membership = entry.group_membership
        if (
            entry.born != group.head.born
            or group_membership is None
            or (group_membership.group, group_membership.epoch)
            != (group.name, group.epoch)
            or group_membership.state != OPEN
        ):
            return None
        return _candidate(group.name, entry)


def _candidate(name, entry):
    return Candidate(
        name, entry.server, entry.born, entry.address, entry.data_center, entry.slots
    )

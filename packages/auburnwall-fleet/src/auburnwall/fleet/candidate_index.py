"""Servers that accept requests now: heads of open groups and plain servers."""

from typing import NamedTuple

from .formation.records import SERVING
from .registrations import OPEN


class Candidate(NamedTuple):
    """A server that accepts requests, by itself or as the head of a group.

    ``name`` is the group's name, or the server's name if it is in no group. ``born``
    identifies the server's incarnation.
    """

    name: str
    server: str
    born: int
    address: str
    data_center: str
    slots: int


class CandidateIndex:
    """Candidates by service and model, from registrations and the fleet's table.

    A group is a candidate while its record is in the serving phase and its head reports
    that it is open at the record's epoch. ``evacuated_data_centers`` returns the names
    of the data centres that get no requests.
    """

    def __init__(self, registry, state, evacuated_data_centers):
        self._registry = registry
        self._state = state
        self._evacuated_data_centers = evacuated_data_centers
        self._built_version = None
        self._by_model = {}
        self._by_service = {}

    def has_candidates(self):
        """Return whether any server accepts requests."""
        self._rebuild()
        return bool(self._by_model or self._by_service)

    def by_model(self, service, model):
        """Return the candidates for a model of a service with model engines."""
        self._rebuild()
        return self._by_model.get((service, model), [])

    def by_service(self, service):
        """Return the candidates for a service without model engines."""
        self._rebuild()
        return self._by_service.get(service, [])

    def forming_count(self, service, model):
        """Return how many serving groups of the model are not candidates yet."""
        serving = sum(
            group.phase == SERVING and group.service == service and group.model == model
            for group in self._state.groups.values()
        )
        return serving - len(self.by_model(service, model))

    def _rebuild(self):
        self._registry.apply_due_removals()
        evacuated = self._evacuated_data_centers()
        version = (
            self._registry.change_count,
            self._state.change_count,
            frozenset(evacuated),
        )
        if version == self._built_version:
            return
        self._built_version = version
        self._by_model, self._by_service = {}, {}
        for group in self._state.groups.values():
            if group.phase == SERVING and (
                candidate := self._group_candidate(group, evacuated)
            ):
                key = group.service, group.model
                self._by_model.setdefault(key, []).append(candidate)
        for entry in self._registry.servers.values():
            usable = self._registry.usable_registration(entry.server)
            if (
                usable
                and entry.data_center not in evacuated
                and entry.group_membership is None
            ):
                candidate = _candidate(entry.server, entry)
                self._by_service.setdefault(entry.service, []).append(candidate)

    def _group_candidate(self, group, evacuated):
        entry = self._registry.usable_registration(group.head.server)
        if entry is None or entry.data_center in evacuated:
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

"""The plan for one service, and the servers that it can use."""

from typing import NamedTuple

from .assembly import FreeServer
from .records import Member
from .shifting import Shift


class Plan(NamedTuple):
    """The groups to form and servers to reassign for a service, with the inputs."""

    service: str
    engine: object
    formations: list
    shift: Shift
    group_counts: dict
    demand: dict
    at_start: bool  # no request has come yet

    def group_fields(self):
        """Return service, model and members of each group to form."""
        return [
            (
                self.service,
                formation.model,
                tuple(Member(m.server, m.born, m.address) for m in formation.members),
            )
            for formation in self.formations
        ]


def engines_of(config):
    """Return the ``EngineSpec`` of each service that has one, by name."""
    services = config.services.values()
    return {service.name: service.engine for service in services if service.engine}


def as_free_server(entry, model, reserved=""):
    """Return a registered server as a ``FreeServer`` that last served ``model``."""
    return FreeServer(
        entry.server,
        entry.born,
        entry.address,
        entry.domain,
        entry.data_center,
        model,
        entry.staged,
        reserved,
    )


def is_compatible(formation, shift):
    """Return whether to form a group that loads weights along with a shift.

    It must not use the shifted servers, nor be of the same model as the shift: it would
    be ready much later than a group of these servers.
    """
    taken = {member.server for member in formation.members} & set(shift.servers)
    return formation.model != shift.model and not taken

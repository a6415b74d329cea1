"""Routes: which service a request goes to, and what may be done with it."""

from typing import NamedTuple


class Target(NamedTuple):
    """A service that takes ``weight`` parts of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests to ``host`` whose path begins with ``path_prefix``.

    ``repeatable`` requests may run more than once. ``streams`` are answered with
    events; a ``resumable`` stream may go on at another backend server after the last
    event that the caller has. ``most_servers`` bounds the backend servers on which
    one request may run. The objectives are the times to the answer, or to its first
    event, and between two events; they decide nothing about correctness.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple
    repeatable: bool
    streams: bool
    resumable: bool
    most_servers: int
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    anonymous: bool

    @property
    def may_run_again(self):
        """Return whether a request may be sent again once it may have run."""
        return self.repeatable or self.resumable


class Team(NamedTuple):
    """A team; ``priority`` goes before the route's, ``None`` if it has none."""

    name: str
    priority: int | None


class ModelSpec(NamedTuple):
    """A model: ``members`` servers a group, ``pace`` times the engine's own times.

    ``share`` is the part of the work expected at the start; loading takes ``load_s``
    from the weight store and ``warm_s`` from the host.
    """

    name: str
    members: int
    pace: float
    share: float
    load_s: float
    warm_s: float


class EngineSpec(NamedTuple):
    """How a service's model engines spend time; see ``step_model``.

    Times are per group at pace 1. ``prompt`` and ``answer`` are mean token counts.
    """

    slots: int
    models: dict
    step_s: float
    step_per_request_s: float
    step_per_token_s: float
    prefill_per_token_s: float
    prefill_per_pair_s: float
    tokens_per_event: int
    loads_per_s: float
    loads_at_once: int
    prompt: int
    answer: int


class ServiceSpec(NamedTuple):
    """A service; a cold server of it takes ``cold_per_s`` requests a second."""

    name: str
    cold_per_s: float
    engine: EngineSpec | None


class ClientLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class RoutingConfig(NamedTuple):
    """One version of the configuration in full."""

    version: int
    routes: tuple
    services: dict
    limits: ClientLimits
    teams_by_key: dict | None

    def team_of(self, key):
        """Return the team that holds ``key``, or ``None``."""
        return (self.teams_by_key or {}).get(key)


class RouteTable:
    """The routes of one configuration, found by host and longest path prefix."""

    def __init__(self, config):
        self.config = config
        self._by_host = {}
        for route in config.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host, path):
        """Return the route of a request, or ``None``.

        >>> RouteTable(config).find("shop.example:8080", "/orders/7").name
        'orders'
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_target(route, rng):
    """Return the service that one request of ``route`` goes to, by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service

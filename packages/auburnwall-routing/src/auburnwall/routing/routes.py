"""Routes: the service that a request goes to and the rules for serving it."""

from typing import NamedTuple

# Rank of a request whose route and team have no priority; 0 is the most urgent.
DEFAULT_RANK = 5


class Target(NamedTuple):
    """A service that gets requests of a route in proportion to ``weight``."""

    service: str
    weight: float


class Route(NamedTuple):
    """The rules for requests to ``host`` whose path starts with ``path_prefix``.

    ``repeatable`` requests may run more than once. Routes with ``streams`` answer with
    events; a ``resumable`` stream may be resumed at another backend server after the
    last event that the caller has. One request may run on at most ``max_servers``
    backend servers. ``objective_s`` is the target time to the response, or to its first
    event, and ``gap_objective_s`` the target time between two events. The objectives
    affect scheduling only, never correctness. ``anonymous`` requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple
    repeatable: bool
    streams: bool
    resumable: bool
    max_servers: int
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    anonymous: bool

    @property
    def may_run_again(self):
        """Return whether a request that may have run may be sent again."""
        return self.repeatable or self.resumable


class Team(NamedTuple):
    """A team; its ``priority`` overrides the route's unless it is ``None``."""

    name: str
    priority: int | None


class ModelSpec(NamedTuple):
    """A model, whose groups have ``members`` servers each.

    ``pace`` multiplies the times of the engine. ``share`` is the expected fraction of
    the work when the system starts. Loading its weights takes ``load_s`` from the
    weight store and ``warm_s`` from the host's memory, in seconds.
    """

    name: str
    members: int
    pace: float
    share: float
    load_s: float
    warm_s: float


class EngineSpec(NamedTuple):
    """The time model of a service's model engines; see ``step_model``.

    Times are in seconds, per group and for a model of pace 1. ``slots`` is the number
    of requests that a group serves concurrently. ``models`` maps names to
    ``ModelSpec``. On average at most ``loads_per_s`` loads start per second, and at
    most ``max_concurrent_loads`` run concurrently. ``mean_prompt_tokens`` and
    ``mean_response_tokens`` are mean token counts.
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
    max_concurrent_loads: int
    mean_prompt_tokens: int
    mean_response_tokens: int


class ServiceSpec(NamedTuple):
    """A service; each of its cold servers can take ``cold_requests_per_s``.

    At 0 the request rate to cold servers is not limited.
    """

    name: str
    cold_requests_per_s: float
    engine: EngineSpec | None


class ClientLimits(NamedTuple):
    """Limits on a caller's request: its size and the time to send its headers.

    ``idle_s`` is how long a connection may wait for its next request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class RoutingConfig(NamedTuple):
    """One complete version of the configuration.

    ``teams_by_key`` is ``None`` if callers need no key.
    """

    version: int
    routes: tuple
    services: dict
    limits: ClientLimits
    teams_by_key: dict | None

    def team_of(self, key):
        """Return the team that holds ``key``, or ``None``."""
        return (self.teams_by_key or {}).get(key)


class RouteTable:
    """Finds routes of one configuration by host and longest path prefix."""

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


def rank_of_route(route):
    """Return the rank of a route's requests, ``DEFAULT_RANK`` if it has no priority."""
    return DEFAULT_RANK if route.priority is None else route.priority


def ranks_of_service(config, service):
    """Return the set of the ranks of the routes that may use a service."""
    return {
        rank_of_route(route)
        for route in config.routes
        if any(target.service == service for target in route.targets)
    }


def pick_target(route, rng):
    """Return the service for one request of ``route``, drawn at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service

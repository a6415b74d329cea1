"""Check callers' requests and find the dispatcher that serves them."""

import json
from uuid import uuid4

from auburnwall.base.digits import parse_digits
from auburnwall.base.tasks import run_restarting
from auburnwall.routing.call import bearer_key
from auburnwall.routing.completions import DEADLINE_HEADER
from auburnwall.routing.credits import Grant
from auburnwall.routing.dispatcher import Dispatcher
from auburnwall.routing.entry_points import entry_points
from auburnwall.routing.exceptions import (
    NOT_RUN,
    UNKNOWN,
    BadRequestError,
    RequestError,
)
from auburnwall.routing.request import CallerRequest
from auburnwall.state.configuration.selection import team_of_key
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import CreditAsk

PRIORITY_HEADER = "X-Auburnwall-Priority"
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5
MAX_REQUEST_ID_CHARS = 128


class Gateway:
    """Checks requests and keeps a dispatcher for each model and plain service.

    A plain service is one without a model engine. Its backend servers are VMs that
    belong to no group.

    As a context manager it counts a request as running.
    """

    def __init__(self, components):
        self._components = components
        self._dispatchers = {}
        self._running = 0

    def running(self):
        """Return the number of requests that run or wait at this node."""
        return self._running

    def __enter__(self):
        self._running += 1
        return self

    def __exit__(self, *exc_info):
        self._running -= 1

    def read_request(self, call, target, path):
        """Return the ``CallerRequest`` for an HTTP call.

        ``call`` has ``method``, ``headers`` and ``body``. The request has all headers
        but the caller's credentials. Raises ``BadRequestError`` if the API key is
        missing or unknown, or if the deadline or the priority is not valid.
        """
        config = self._components.follower.state.config
        team = self._team(config, call.headers)
        weight = config.get("teams", {}).get(team, {}).get("weight", 1.0)
        return CallerRequest(
            request_id(call.headers),
            team,
            weight,
            target,
            self._deadline(call.headers),
            _priority(call.headers),
            call.method,
            path,
            {
                name: value
                for name, value in call.headers.items()
                if name.lower() not in ("authorization", "cookie")
            },
            call.body,
        )

    def require_accepting(self, idempotency_key=""):
        """Raise ``RequestError`` if this node may take no new requests.

        It may not in the last phase of a shutdown, nor while its ``Freshness`` does not
        allow it. A request with an idempotency key may be a retry of one that ran by
        way of another node, so its refusal does not state that it has not run.
        """
        components = self._components
        freshness = components.membership.freshness()
        if freshness.serves and not components.drain.refusing:
            return
        refusal = (
            "this node is stopping"
            if freshness.serves
            else f"this node is {freshness.value}"
        )
        raise RequestError(
            503,
            "Use another entry address",
            refusal,
            ran=UNKNOWN if idempotency_key else NOT_RUN,
            step="admission",
            retry_after_s=1.0,
        )

    def entry_points(self, data_center):
        """Return the ``EntryPoint`` of each node that takes requests.

        Those in the given data centre come first.
        """
        components = self._components
        return entry_points(
            components.follower.state,
            components.identity,
            components.membership.draining,
            components.membership.freshness().serves,
            components.membership.reachable_peers(),
            data_center,
        )

    def models(self, team):
        """Return the names of the models that a team may use, sorted.

        These are the models of the selectors that name this team or none.
        """
        config = self._components.follower.state.config
        return sorted(
            {
                selector["model"]
                for selector in config.get("selectors", {}).values()
                if selector.get("team", team) == team
            }
        )

    def model_dispatcher(self, request):
        """Return the dispatcher for a request's model.

        Raises ``BadRequestError`` if the configuration has no such model.
        """
        config = self._components.follower.state.config
        if request.target not in config.get("models", {}):
            known = ", ".join(sorted(config.get("models", {}))) or "none"
            raise BadRequestError(
                f"there is no model {request.target!r}; there are: {known}",
                status=404,
                title="Unknown model",
                step="find model",
            )
        return self._dispatcher(f"model {request.target}", self._eligible_groups)

    def service_dispatcher(self, name):
        """Return the dispatcher for a plain service."""
        return self._dispatcher(
            f"service {name}",
            lambda request: self._components.service_directory.eligible(name),
        )

    def service(self, name):
        """Return a plain service's configuration.

        Raises ``BadRequestError`` if there is no such service.
        """
        services = self._components.follower.state.config.get("services", {})
        if name not in services:
            known = ", ".join(sorted(services)) or "none"
            raise BadRequestError(
                f"there is no service {name!r}; there are: {known}",
                status=404,
                title="Unknown service",
                step="find service",
            )
        return services[name]

    def renew_credits(self):
        """Renew the router credits of all dispatchers."""
        for dispatcher in self._dispatchers.values():
            dispatcher.renew_credits()

    def waiting(self):
        """Return the numbers of waiting requests by the dispatchers' names."""
        return {
            name: dispatcher.waiting_count()
            for name, dispatcher in self._dispatchers.items()
        }

    def find_view(self, name):
        """Return the ``GroupView`` of a group or service VM, or ``None``.

        It states the generation, boot ID, address and load of a group or VM that may
        take requests now; others have none. The name of a service VM is ``service/vm``,
        that of a group has no slash.
        """
        view = self._components.directory.group_view(name)
        if view is None and "/" in name:
            service = name.partition("/")[0]
            views = self._components.service_directory.eligible(service)
            view = next((v for v in views if v.name == name), None)
        return view

    def _eligible_groups(self, request):
        """Return the groups that may take the request.

        If there seem to be none, the probe results may merely be outdated. Members of
        the model's groups that have no fresh result are then probed, and the groups
        looked up once more.
        """
        groups = self._components.directory.eligible(request.target, request.team)
        if not groups:
            self._components.probe_stale_members(request.target)
            groups = self._components.directory.eligible(request.target, request.team)
        return groups

    def _dispatcher(self, name, find_candidates):
        """Return the dispatcher ``model NAME`` or ``service NAME``.

        It is created at the first call, with ``find_candidates(request)``, which
        returns the views of the groups or VMs that may take a request.
        """
        if name not in self._dispatchers:
            components = self._components
            dispatcher = Dispatcher(
                name,
                find_candidates,
                self._request_credits,
                components.chooser,
                components.clock,
                components.rng,
                max_waiting=components.cfg.most_waiting,
            )
            self._dispatchers[name] = dispatcher
            components.tasks.spawn(
                run_restarting, components.clock, dispatcher.run, f"dispatcher {name}"
            )
        return self._dispatchers[name]

    def _request_credits(self, group_key, router_credits):
        """Ask the owner of a group for slots; return the grant and its term in seconds.

        ``group_key`` names the group with its generation and boot ID. Returns ``None``
        if there is no owner, if it can't be reached or if it refuses. The dispatcher
        ignores the ``expires_at`` of the grant and computes its own from the term.
        """
        components = self._components
        owner = components.ownership.owner_of(group_key.group)
        if owner is None:
            return None
        report = router_credits.report(
            components.identity.node, components.clock.monotonic()
        )
        ask = CreditAsk(
            report.node,
            components.identity.incarnation,
            group_key.group,
            group_key.generation,
            report.in_use,
            report.want,
            group_key.boot_id,
            report.number,
            report.closed,
            report.ledger,
        )
        if owner.name == components.identity.node:
            grant = components.ownership.decide(ask).grant
            return None if grant is None else (grant, components.cfg.credit_term_s)
        try:
            response = components.peers.call(owner.peer_address, "credits", ask)
        except PeerUnavailableError:
            return None
        if not response.granted:
            return None
        grant = Grant(response.slots, 0.0, response.number, response.ledger)
        return grant, response.term_ms / 1000

    def _team(self, config, headers):
        key = bearer_key(headers.get("Authorization", ""))
        team = None if key is None else team_of_key(config, key)
        if team is None:
            raise BadRequestError(
                "send the team's API key as 'Authorization: Bearer KEY'",
                status=401,
                title="API key is missing or unknown",
                step="check key",
            )
        return team

    def _deadline(self, headers):
        """Return the request's deadline on the monotonic clock.

        The header states the milliseconds left, limited to ``most_deadline_s``. Without
        it the time left is ``default_deadline_s``. Raises ``BadRequestError`` if the
        header is not a positive whole number.
        """
        cfg = self._components.cfg
        time_left_s = cfg.default_deadline_s
        raw = headers.get(DEADLINE_HEADER)
        if raw is not None:
            left_ms = parse_digits(raw, int(1000 * cfg.most_deadline_s))
            if not left_ms:
                raise BadRequestError(
                    f"{DEADLINE_HEADER}: {raw!r} is not a number of milliseconds"
                )
            time_left_s = left_ms / 1000
        return self._components.clock.monotonic() + time_left_s


def request_id(headers):
    """Return the request id that the caller set, or a new one if it is not usable.

    A usable id is printable ASCII of at most ``MAX_REQUEST_ID_CHARS`` characters.
    """
    given = headers.get("X-Request-Id", "")
    if (
        0 < len(given) <= MAX_REQUEST_ID_CHARS
        and given.isascii()
        and given.isprintable()
    ):
        return given
    return uuid4().hex


def read_json(body):
    """Return the JSON object in a body.

    Raises ``BadRequestError`` if the body is not JSON or not an object.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise BadRequestError(f"the body is not JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise BadRequestError("the body is not a JSON object")
    return value


def _priority(headers):
    raw = headers.get(PRIORITY_HEADER)
    if raw is None:
        return DEFAULT_PRIORITY
    priority = parse_digits(raw, MAX_PRIORITY + 1)
    if priority is None or priority > MAX_PRIORITY:
        raise BadRequestError(
            f"{PRIORITY_HEADER}: {raw!r} is not a number from 0 to {MAX_PRIORITY}"
        )
    return priority

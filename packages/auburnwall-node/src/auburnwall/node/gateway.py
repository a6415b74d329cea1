"""From a caller's call to the path that serves it."""

import json
from uuid import uuid4

from auburnwall.base.tasks import supervise
from auburnwall.routing.call import bearer_key
from auburnwall.routing.completions import DEADLINE_HEADER
from auburnwall.routing.credits import Grant
from auburnwall.routing.dispatcher import Dispatcher
from auburnwall.routing.entrypoints import entry_points
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
MOST_PRIORITY = 9
DEFAULT_PRIORITY = 5
MOST_ID_CHARS = 128


class Gateway:
    """Check requests, keep a dispatcher for each model and service, count runs."""

    def __init__(self, parts):
        self._parts = parts
        self._dispatchers = {}
        self._running = 0

    def running(self):
        """Return how many requests run or wait here."""
        return self._running

    def __enter__(self):
        self._running += 1
        return self

    def __exit__(self, *exc_info):
        self._running -= 1

    def read_request(self, call, target, path):
        """Return the ``CallerRequest`` of an HTTP call; raise ``RequestError``.

        ``call`` has ``method``, ``headers`` and ``body``.
        """
        config = self._parts.follower.state.config
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

    def require_service(self, key=""):
        """Raise ``RequestError`` while this node may take no new requests.

        A request with an idempotency ``key`` may have run when it was asked for
        before, at another node, so its refusal does not say that it has not.
        """
        parts = self._parts
        mode = parts.membership.mode()
        if mode.serves and not parts.drain.refusing:
            return
        why = "this node is stopping" if mode.serves else f"this node is {mode.value}"
        raise RequestError(
            503,
            "Use another entry address",
            why,
            ran=UNKNOWN if key else NOT_RUN,
            step="admission",
            retry_after_s=1.0,
        )

    def entry_points(self, near):
        """Return the entry addresses that callers are to use."""
        parts = self._parts
        return entry_points(
            parts.follower.state,
            parts.identity,
            parts.membership.draining,
            parts.membership.mode().serves,
            parts.membership.in_touch(),
            near,
        )

    def models(self, team):
        """Return the models that a team may ask for."""
        config = self._parts.follower.state.config
        return sorted(
            {
                selector["model"]
                for selector in config.get("selectors", {}).values()
                if selector.get("team", team) == team
            }
        )

    def model_dispatcher(self, request):
        """Return the dispatcher of a request's model; raise if nobody serves it."""
        config = self._parts.follower.state.config
        if request.target not in config.get("models", {}):
            known = ", ".join(sorted(config.get("models", {}))) or "none"
            raise BadRequestError(
                f"there is no model {request.target!r}; there are: {known}",
                status=404,
                title="Unknown model",
                step="find model",
            )
        return self._dispatcher(f"model {request.target}", self._groups_for)

    def service_dispatcher(self, name):
        """Return the dispatcher of a plain service."""
        return self._dispatcher(
            f"service {name}", lambda request: self._parts.services.eligible(name)
        )

    def service(self, name):
        """Return a plain service's configuration; raise if there is none."""
        services = self._parts.follower.state.config.get("services", {})
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
        """Renew the credits of all dispatchers."""
        for dispatcher in self._dispatchers.values():
            dispatcher.renew()

    def waiting(self):
        """Return the number of waiting requests by target."""
        return {name: d.waiting() for name, d in self._dispatchers.items()}

    def find_view(self, name):
        """Return the view of a group or service VM that may take work, or ``None``."""
        view = self._parts.directory.view(name)
        if view is None and "/" in name:
            service = name.partition("/")[0]
            views = self._parts.services.eligible(service)
            view = next((v for v in views if v.name == name), None)
        return view

    def _groups_for(self, request):
        groups = self._parts.directory.eligible(request.target, request.team)
        if not groups:
            self._parts.second_look(request.target)
            groups = self._parts.directory.eligible(request.target, request.team)
        return groups

    def _dispatcher(self, target, find):
        if target not in self._dispatchers:
            parts = self._parts
            dispatcher = Dispatcher(
                target,
                find,
                self._ask_owner,
                parts.chooser,
                parts.clock,
                parts.rng,
                most_waiting=parts.cfg.most_waiting,
            )
            self._dispatchers[target] = dispatcher
            parts.tasks.spawn(
                supervise, parts.clock, dispatcher.run, f"dispatcher {target}"
            )
        return self._dispatchers[target]

    def _ask_owner(self, key, purse):
        """Return the owner's grant and its term, or ``None``."""
        parts = self._parts
        owner = parts.ownership.owner_of(key.group)
        if owner is None:
            return None
        report = purse.report(parts.identity.node, parts.clock.monotonic())
        ask = CreditAsk(
            report.node,
            parts.identity.incarnation,
            key.group,
            key.generation,
            report.in_use,
            report.want,
            key.boot_id,
            report.number,
            report.closed,
            report.ledger,
        )
        if owner.name == parts.identity.node:
            grant = parts.ownership.decide(ask).grant
            return None if grant is None else (grant, parts.cfg.credit_term_s)
        try:
            answer = parts.peers.call(owner.peer_address, "credits", ask)
        except PeerUnavailableError:
            return None
        if not answer.granted:
            return None
        grant = Grant(answer.slots, 0.0, answer.number, answer.ledger)
        return grant, answer.term_ms / 1000

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
        cfg = self._parts.cfg
        left_s = cfg.default_deadline_s
        raw = headers.get(DEADLINE_HEADER)
        if raw is not None:
            if not raw.isdigit() or int(raw) == 0:
                raise BadRequestError(
                    f"{DEADLINE_HEADER}: {raw!r} is not a number of milliseconds"
                )
            left_s = min(int(raw) / 1000, cfg.most_deadline_s)
        return self._parts.clock.monotonic() + left_s


def request_id(headers):
    """Return the caller's request id, or a new one."""
    given = headers.get("X-Request-Id", "")
    if 0 < len(given) <= MOST_ID_CHARS and given.isascii() and given.isprintable():
        return given
    return uuid4().hex


def read_json(body):
    """Return the JSON object of a body; raise ``BadRequestError``."""
    try:
        value = json.loads(body)
    except ValueError as exc:
        raise BadRequestError(f"the body is not JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise BadRequestError("the body is not a JSON object")
    return value


def _priority(headers):
    raw = headers.get(PRIORITY_HEADER)
    if raw is None:
        return DEFAULT_PRIORITY
    if not raw.isdigit() or int(raw) > MOST_PRIORITY:
        raise BadRequestError(
            f"{PRIORITY_HEADER}: {raw!r} is not a number from 0 to {MOST_PRIORITY}"
        )
    return int(raw)

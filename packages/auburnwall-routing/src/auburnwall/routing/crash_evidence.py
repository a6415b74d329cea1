"""Finds what crashes servers, from the requests that were in flight at crashed ones.

Failure pattern: every server that begins to answer a prompt with a certain part
crashes, or every one that begins to run a certain request. Such requests come at all
nodes, and each one is sent to a second server when the first has crashed, so server
after server is lost. No two requests with such a part are alike, and a request that
comes again has another id. All that the crashed servers have in common is the part, or
the fingerprint of the request. It is blocked once it alone explains several crashes,
which the nodes report to each other.

A crashed server had sound requests as well, so these are in the evidence too. A part or
a request is sound if it was answered lately, at any node.
"""

from collections import OrderedDict
from functools import partial
from typing import NamedTuple

from auburnwall.base.logs import event

from .call import is_fingerprint

# Crashes with a part or request after which it is blocked, and for a part the number of
# different requests among them. Two crashes may be a coincidence: a request that is
# sent again after one may meet an unrelated second one.
MIN_CRASHES, MIN_REQUESTS = 3, 2
# Crashes with a part that no blocked request explains, after which it may be blocked.
# The first of these may be a coincidence.
MIN_NEW_CRASHES = 2
# Time for which a crash counts and peers are told of it, and for which an answer shows
# that its parts are sound, in seconds.
EVIDENCE_S = 60.0
# Time for which a part is blocked, in seconds. After that, one more crash is enough.
BLOCK_S = 300.0
# Time after which the evidence is evaluated again once it has settled, in seconds; it
# changes no decision after that until it grows.
EVALUATION_MARGIN_S = 1.0
# Limits on what is remembered, and on what a heartbeat carries. Servers have fewer
# slots than the requests that are remembered of each.
MAX_SOUND, MAX_CRASHES, MAX_SUSPECTS_PER_CRASH = 8_192, 64, 32
MAX_CRASHES_TOLD = 16


class Crash(NamedTuple):
    """A server that has crashed, in the incarnation that ``born`` identifies.

    ``crashes_before`` counts its earlier crashes with the same ``born``: a server that
    starts again may take requests before its new registration has been read.
    """

    server: str
    born: int
    crashes_before: int = 0

    def encode(self):
        """Return the crash as a text for peers, as in ``s1@17/0``."""
        return f"{self.server}@{self.born}/{self.crashes_before}"

    @classmethod
    def decode(cls, text):
        """Return the crash that ``encode`` has made a text of."""
        server, _, numbers = text.rpartition("@")
        born, _, before = numbers.partition("/")
        return cls(server, int(born), int(before))


class Suspect(NamedTuple):
    """A request that was in flight at a crashed server.

    ``shared_parts`` are the parts of its prompt that other requests may have too,
    ``own_part`` is the last one, empty for a request without a prompt.
    """

    shared_parts: tuple
    own_part: str
    fingerprint: str

    @property
    def causes(self):
        """Return what may have crashed the server, the most general cause first."""
        return (*self.shared_parts, self.fingerprint)

    def encode(self):
        """Return the request as a text for peers, as in ``a1,b2,c3/request:9f``."""
        parts = (*self.shared_parts, self.own_part)
        return f"{','.join(parts)}/{self.fingerprint}"

    @classmethod
    def decode(cls, text):
        """Return the request that ``encode`` has made a text of."""
        parts, _, fingerprint = text.partition("/")
        *shared, own = parts.split(",")
        return cls(tuple(shared), own, fingerprint)


class _KnownCrash(NamedTuple):
    """Since when a crash is known, and the requests in flight.

    ``is_own`` is whether this node has seen it itself.
    """

    known_at: float
    suspects: set
    is_own: bool


class _Suspicion(NamedTuple):
    """What speaks against a part or a request.

    These are the crashes at which it was in flight, the requests with it, and its last
    position among the causes of a request.
    """

    crashes: set
    requests: set
    position: int


def find_causes(suspects_by_crash, sound, is_enough):
    """Return what explains crashes, as pairs of a list of causes and their crashes.

    ``suspects_by_crash`` holds the requests in flight at each crash.
    ``is_enough(cause, crashes, requests)`` returns whether these crashes of servers,
    under so many different requests, are enough. The cause with the most crashes comes
    first. Of causes with equally many, it is the one that comes last in its request,
    since requests have fewer of their later parts in common, and their fingerprints
    none. Its crashes are then evidence against no other cause. Requests with the very
    same crashes cannot be told apart and are returned together.
    """
    unexplained, found = dict(suspects_by_crash), []
    while True:
        suspicions = _suspicions(unexplained, sound)
        enough = {
            cause: suspicion
            for cause, suspicion in suspicions.items()
            if is_enough(cause, suspicion.crashes, len(suspicion.requests))
        }
        if not enough:
            return found
        worst, suspicion = max(
            enough.items(),
            key=lambda item: (len(item[1].crashes), item[1].position, item[0]),
        )
        causes = [worst]
        if is_fingerprint(worst):
            causes = [
                cause
                for cause, other in sorted(enough.items())
                if is_fingerprint(cause) and other.crashes == suspicion.crashes
            ]
        found.append((causes, sorted(suspicion.crashes)))
        for crash in suspicion.crashes:
            del unexplained[crash]


def _suspicions(suspects_by_crash, sound):
    """Return the ``_Suspicion`` against each part and request that is not sound."""
    suspicions = {}
    for crash, suspects in suspects_by_crash.items():
        for suspect in suspects:
            for position, cause in enumerate(suspect.causes):
                if cause in sound:
                    continue
                known = suspicions.get(cause, _Suspicion(set(), set(), 0))
                known.crashes.add(crash)
                known.requests.add((suspect.own_part, suspect.fingerprint))
                position = max(position, known.position)
                suspicions[cause] = known._replace(position=position)
    return suspicions


class CrashEvidence:
    """The crashes that this node knows of, what is sound, and what is blocked.

    A cause is a part of prompts or the fingerprint of a request. ``settle_s()`` is how
    long peers take to tell that a cause is sound, in seconds. A cause is not blocked
    before its first crash has been known for that time: many servers may crash at once
    with the same sound part in flight.
    """

    def __init__(self, clock, settle_s):
        self._clock = clock
        self._settle_s = settle_s
        self._crashes = {}
        # Since when each cause in the evidence is in it, and when it last grew.
        self._cause_known_at = {}
        self._grown_at = -EVIDENCE_S
        self._sound_at = OrderedDict()
        self._sound_at_peers = {}
        self._blocked_until = {}
        self._blocked_before = set()

    def note_crash(self, server, born, suspect, request_id, sent_at):
        """Record a request of this node that was at a crashed server.

        It was sent at ``sent_at``, so that earlier crashes are other ones.
        """
        if self._is_sound(suspect.causes):
            return
        crashes_before = sum(
            (crash.server, crash.born) == (server, born) and known.known_at < sent_at
            for crash, known in self._crashes.items()
        )
        crash = Crash(server, born, crashes_before)
        event(
            "server crashed",
            request=request_id,
            peer=crash.server,
            born=crash.born,
            crashes_before=crash.crashes_before,
            fingerprint=suspect.fingerprint,
            parts=suspect.shared_parts,
        )
        self._add(crash, [suspect], is_own=True)
        # The request may be about to be sent to another server.
        self.update()

    def note_answered(self, causes):
        """Record that a request with these causes was answered completely."""
        now = self._clock.monotonic()
        for cause in causes:
            self._sound_at[cause] = now
            self._sound_at.move_to_end(cause)
            self._unblock_sound(cause, "answered by a server")
        while len(self._sound_at) > MAX_SOUND:
            self._sound_at.popitem(last=False)

    def note_peers(self, crashes, sound_parts, source):
        """Record what the peer ``source`` tells.

        The arguments are what its ``crashes_to_tell`` and ``sound_parts_to_tell``
        return, or those of several peers put together.
        """
        now = self._clock.monotonic()
        for part in sound_parts:
            self._sound_at_peers[part] = now
            self._unblock_sound(part, f"answered, says {source}")
        for name, texts in crashes.items():
            suspects = map(Suspect.decode, texts)
            self._add(Crash.decode(name), suspects, is_own=False)

    def crashes_to_tell(self):
        """Return the crashes that this node has seen, as ``Crash.encode`` returns them.

        Each has the list of the requests in flight, as ``Suspect.encode`` returns them.
        Those of which all causes are sound are left out.
        """
        told, oldest_at = {}, self._clock.monotonic() - EVIDENCE_S
        for crash, known in self._crashes.items():
            if not known.is_own or known.known_at < oldest_at:
                continue
            unsound = [s for s in known.suspects if not self._is_sound(s.causes)]
            if unsound:
                told[crash.encode()] = sorted(suspect.encode() for suspect in unsound)
        return dict(list(told.items())[-MAX_CRASHES_TOLD:])

    def sound_parts_to_tell(self):
        """Return the causes in the evidence that this node's requests show as sound."""
        oldest_at = self._clock.monotonic() - EVIDENCE_S
        return sorted(
            cause
            for cause in self._cause_known_at.keys() | self._blocked_until.keys()
            if self._sound_at.get(cause, oldest_at) > oldest_at
        )

    def blocked_cause(self, causes):
        """Return a blocked one of the causes and for how long it is, or ``None``."""
        now = self._clock.monotonic()
        for cause in causes if self._blocked_until else ():
            left_s = self._blocked_until.get(cause, now) - now
            if left_s > 0:
                return cause, left_s
        return None

    def blocked_causes(self):
        """Return the set of the blocked causes."""
        now = self._clock.monotonic()
        return {cause for cause, until in self._blocked_until.items() if until > now}

    def block_known(self, cause):
        """Block a cause that is blocked in the fleet's table."""
        if cause not in self._blocked_until and not self._is_sound((cause,)):
            self._block(cause, (), "fleet table")

    def unblock(self, cause, why):
        """Unblock a cause whose time is over; one more crash blocks it again."""
        if self._blocked_until.pop(cause, None) is not None:
            event(f"{_kind(cause)} unblocked", part=cause, why=why)

    def update(self):
        """Forget old evidence, and block the causes that explain enough crashes."""
        now = self._clock.monotonic()
        self._forget(now)
        if now - self._grown_at > self._settle_s() + EVALUATION_MARGIN_S:
            return
        blocked = self.blocked_causes()
        requests = {cause for cause in blocked if is_fingerprint(cause)}
        unexplained = {
            crash: known.suspects
            for crash, known in self._crashes.items()
            if not self._has_any(known, blocked - requests)
        }
        # A part may have crashed these servers all the same, if others did with it.
        explained = {
            crash
            for crash in unexplained
            if self._has_any(self._crashes[crash], requests)
        }
        sound = {cause for cause in self._cause_known_at if self._is_sound((cause,))}
        is_enough = partial(self._is_enough, explained)
        for causes, crashes in find_causes(unexplained, sound, is_enough):
            known_at = max(self._cause_known_at[cause] for cause in causes)
            if now - known_at >= self._settle_s():
                for cause in causes:
                    self._block(cause, crashes, "crashes")

    @staticmethod
    def _has_any(known, causes):
        """Return whether a request with one of the causes was at a crashed server."""
        return any(not causes.isdisjoint(s.causes) for s in known.suspects)

    def _unblock_sound(self, cause, why):
        """Unblock a cause that crashes no servers."""
        self.unblock(cause, why)
        self._blocked_before.discard(cause)

    def _add(self, crash, suspects, is_own):
        now = self._clock.monotonic()
        known = self._crashes.get(crash) or _KnownCrash(now, set(), False)
        self._crashes[crash] = known._replace(is_own=known.is_own or is_own)
        for suspect in suspects:
            is_full = len(known.suspects) >= MAX_SUSPECTS_PER_CRASH
            if suspect in known.suspects or is_full:
                continue
            known.suspects.add(suspect)
            self._grown_at = now
            for cause in suspect.causes:
                self._cause_known_at.setdefault(cause, now)
        while len(self._crashes) > MAX_CRASHES:
            self._remove([next(iter(self._crashes))])

    def _forget(self, now):
        oldest_at = now - EVIDENCE_S
        self._remove([c for c, k in self._crashes.items() if k.known_at < oldest_at])
        for cause in [c for c, at in self._sound_at_peers.items() if at < oldest_at]:
            del self._sound_at_peers[cause]
        for cause in [c for c, until in self._blocked_until.items() if until <= now]:
            self.unblock(cause, "time is over")

    def _remove(self, crashes):
        """Remove crashes, and the causes that are in the evidence only with them."""
        if not crashes:
            return
        for crash in crashes:
            del self._crashes[crash]
        left = {
            cause
            for known in self._crashes.values()
            for suspect in known.suspects
            for cause in suspect.causes
        }
        self._cause_known_at = {
            cause: at for cause, at in self._cause_known_at.items() if cause in left
        }

    def _is_enough(self, explained, cause, crashes, requests):
        """Return whether crashes are enough to block a cause.

        ``explained`` holds the crashes that a blocked request explains.
        """
        new_crashes = len(crashes - explained)
        if cause in self._blocked_before:
            return new_crashes > 0
        if is_fingerprint(cause):
            return new_crashes >= MIN_CRASHES
        return (
            len(crashes) >= MIN_CRASHES
            and requests >= MIN_REQUESTS
            and new_crashes >= MIN_NEW_CRASHES
        )

    def _is_sound(self, causes):
        """Return whether requests with each of the causes were answered lately."""
        oldest_at = self._clock.monotonic() - EVIDENCE_S
        return all(
            max(
                self._sound_at.get(cause, oldest_at),
                self._sound_at_peers.get(cause, oldest_at),
            )
            > oldest_at
            for cause in causes
        )

    def _block(self, cause, crashes, source):
        self._blocked_until[cause] = self._clock.monotonic() + BLOCK_S
        self._blocked_before.add(cause)
        event(
            f"{_kind(cause)} blocked",
            part=cause,
            source=source,
            crashes=[crash.server for crash in crashes],
            for_s=BLOCK_S,
        )


def _kind(cause):
    return "request" if is_fingerprint(cause) else "prompt part"

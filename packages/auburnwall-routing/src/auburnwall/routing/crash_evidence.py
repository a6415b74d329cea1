"""Finds the prompt parts that crash servers, from what crashed servers were doing.

Failure pattern: every server that begins to answer a prompt with a certain part
crashes. Such requests come at all nodes, no two are alike, and each one is sent to a
second server when the first has crashed, so server after server is lost. All that the
crashed servers have in common is the part. It is blocked once it alone explains several
crashes, which the nodes report to each other.

A crashed server had sound requests as well, so their parts are in the evidence too. A
part is sound if a request with it was answered lately, at any node.
"""

from collections import OrderedDict
from itertools import chain
from typing import NamedTuple

from auburnwall.base.logs import event

# Crashes with a part after which it is blocked, and the number of different requests
# among them. Two crashes may be a coincidence: a request that is sent again after one
# may meet an unrelated second one. With one request alone its own part may be to blame.
MIN_CRASHES, MIN_REQUESTS = 3, 2
# Time for which a crash counts and peers are told of it, and for which an answer shows
# that its parts are sound, in seconds.
EVIDENCE_S = 60.0
# Time for which a part is blocked, in seconds. After that, one more crash is enough.
BLOCK_S = 300.0
# Time after which the evidence is evaluated again once it has settled, in seconds; it
# changes no decision after that until it grows.
EVALUATION_MARGIN_S = 1.0
# Limits on what is remembered, and on what a heartbeat carries. Servers have fewer
# slots than the prompts that are remembered of each.
MAX_SOUND_PARTS, MAX_CRASHES, MAX_PROMPTS_PER_CRASH = 8_192, 64, 32
MAX_CRASHES_TOLD = 16


class Crash(NamedTuple):
    """A server that has crashed, in the incarnation that ``born`` identifies."""

    server: str
    born: int


class _KnownCrash(NamedTuple):
    """Since when a crash is known, and the parts of each prompt in flight.

    ``is_own`` is whether this node has seen it itself.
    """

    known_at: float
    prompts: set
    is_own: bool


class _Suspicion(NamedTuple):
    """What speaks against a part.

    These are the crashes at which it was in flight, the own parts of the requests with
    it, and its last position in a prompt.
    """

    crashes: set
    own_parts: set
    position: int


def find_crashing_parts(prompts_by_crash, sound_parts, is_enough):
    """Return the parts that explain crashes, as pairs of a part and its crashes.

    ``prompts_by_crash`` holds the prompts in flight at each crash, as tuples of their
    parts. ``is_enough(part, crashes, requests)`` returns whether so many crashes of
    servers, under so many different requests, are enough. The part with the most
    crashes comes first. Of parts with equally many, it is the one that comes last in
    its prompt, since prompts have fewer of their later parts in common. Its crashes are
    then evidence against no other part.
    """
    unexplained, found = dict(prompts_by_crash), []
    while True:
        suspicions = _suspicions(unexplained, sound_parts)
        enough = {
            part: suspicion
            for part, suspicion in suspicions.items()
            if is_enough(part, len(suspicion.crashes), len(suspicion.own_parts))
        }
        if not enough:
            return found
        worst, suspicion = max(
            enough.items(),
            key=lambda item: (len(item[1].crashes), item[1].position, item[0]),
        )
        found.append((worst, sorted(suspicion.crashes)))
        for crash in suspicion.crashes:
            del unexplained[crash]


def _suspicions(prompts_by_crash, sound_parts):
    """Return the ``_Suspicion`` against each shared part that is not sound."""
    suspicions = {}
    for crash, prompts in prompts_by_crash.items():
        for *shared, own in prompts:
            for position, part in enumerate(shared):
                if part in sound_parts:
                    continue
                known = suspicions.get(part, _Suspicion(set(), set(), 0))
                known.crashes.add(crash)
                known.own_parts.add(own)
                position = max(position, known.position)
                suspicions[part] = known._replace(position=position)
    return suspicions


class CrashEvidence:
    """The crashes and the sound parts that this node knows of, and the blocked parts.

    ``settle_s()`` is how long peers take to tell that a part is sound, in seconds. A
    part is not blocked before its first crash has been known for that time: many
    servers may crash at once with the same sound part in flight.
    """

    def __init__(self, clock, settle_s):
        self._clock = clock
        self._settle_s = settle_s
        self._crashes = {}
        # Since when each part in the evidence is in it, and when it last grew.
        self._part_known_at = {}
        self._grown_at = -EVIDENCE_S
        self._sound_at = OrderedDict()
        self._sound_at_peers = {}
        self._blocked_until = {}
        self._blocked_before = set()

    def note_crash(self, crash, prompt, request_id):
        """Record the prompt of a request of this node that was at a crashed server."""
        if self._is_sound(prompt[:-1]):
            return
        event(
            "server crashed",
            request=request_id,
            peer=crash.server,
            born=crash.born,
            parts=prompt,
        )
        self._add(crash, [prompt], is_own=True)
        # The request may be about to be sent to another server.
        self.update()

    def note_answered(self, shared_parts):
        """Record that a request with these shared parts was answered completely."""
        now = self._clock.monotonic()
        for part in shared_parts:
            self._sound_at[part] = now
            self._sound_at.move_to_end(part)
            self._unblock_sound(part, "answered by a server")
        while len(self._sound_at) > MAX_SOUND_PARTS:
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
        for name, prompts in crashes.items():
            server, _, born = name.rpartition("@")
            parts = [tuple(prompt.split(",")) for prompt in prompts]
            self._add(Crash(server, int(born)), parts, is_own=False)

    def crashes_to_tell(self):
        """Return the crashes that this node has seen, as ``SERVER@BORN``.

        Each has the list of the prompts in flight, as parts joined by commas. Prompts
        of which all shared parts are sound are left out.
        """
        told, oldest_at = {}, self._clock.monotonic() - EVIDENCE_S
        for crash, known in self._crashes.items():
            if not known.is_own or known.known_at < oldest_at:
                continue
            prompts = [p for p in known.prompts if not self._is_sound(p[:-1])]
            if prompts:
                told[f"{crash.server}@{crash.born}"] = sorted(map(",".join, prompts))
        return dict(list(told.items())[-MAX_CRASHES_TOLD:])

    def sound_parts_to_tell(self):
        """Return the parts in the evidence that this node's requests show as sound."""
        oldest_at = self._clock.monotonic() - EVIDENCE_S
        return sorted(
            part
            for part in self._part_known_at.keys() | self._blocked_until.keys()
            if self._sound_at.get(part, oldest_at) > oldest_at
        )

    def blocked_part(self, shared_parts):
        """Return a blocked one of the parts and for how long it is, or ``None``."""
        now = self._clock.monotonic()
        for part in shared_parts if self._blocked_until else ():
            left_s = self._blocked_until.get(part, now) - now
            if left_s > 0:
                return part, left_s
        return None

    def blocked_parts(self):
        """Return the set of the blocked parts."""
        now = self._clock.monotonic()
        return {part for part, until in self._blocked_until.items() if until > now}

    def block_known(self, part):
        """Block a part that is blocked in the fleet's table."""
        if part not in self._blocked_until and not self._is_sound((part,)):
            self._block(part, (), "fleet table")

    def unblock(self, part, why):
        """Unblock a part whose time is over; one more crash blocks it again."""
        if self._blocked_until.pop(part, None) is not None:
            event("prompt part unblocked", part=part, why=why)

    def update(self):
        """Forget old evidence, and block the parts that explain enough crashes."""
        now = self._clock.monotonic()
        self._forget(now)
        if now - self._grown_at > self._settle_s() + EVALUATION_MARGIN_S:
            return
        blocked = self.blocked_parts()
        unexplained = {
            crash: known.prompts
            for crash, known in self._crashes.items()
            if not blocked.intersection(chain.from_iterable(known.prompts))
        }
        sound = {part for part in self._part_known_at if self._is_sound((part,))}
        for part, crashes in find_crashing_parts(unexplained, sound, self._is_enough):
            if now - self._part_known_at[part] >= self._settle_s():
                self._block(part, crashes, "crashes")

    def _unblock_sound(self, part, why):
        """Unblock a part that crashes no servers."""
        self.unblock(part, why)
        self._blocked_before.discard(part)

    def _add(self, crash, prompts, is_own):
        now = self._clock.monotonic()
        known = self._crashes.get(crash) or _KnownCrash(now, set(), False)
        self._crashes[crash] = known._replace(is_own=known.is_own or is_own)
        for prompt in prompts:
            if prompt in known.prompts or len(known.prompts) >= MAX_PROMPTS_PER_CRASH:
                continue
            known.prompts.add(prompt)
            self._grown_at = now
            for part in prompt[:-1]:
                self._part_known_at.setdefault(part, now)
        while len(self._crashes) > MAX_CRASHES:
            self._remove([next(iter(self._crashes))])

    def _forget(self, now):
        oldest_at = now - EVIDENCE_S
        self._remove([c for c, k in self._crashes.items() if k.known_at < oldest_at])
        for part in [p for p, at in self._sound_at_peers.items() if at < oldest_at]:
            del self._sound_at_peers[part]
        for part in [p for p, until in self._blocked_until.items() if until <= now]:
            self.unblock(part, "time is over")

    def _remove(self, crashes):
        """Remove crashes, and the parts that are in the evidence only with them."""
        if not crashes:
            return
        for crash in crashes:
            del self._crashes[crash]
        left = {
            part
            for known in self._crashes.values()
            for *shared, _ in known.prompts
            for part in shared
        }
        self._part_known_at = {
            part: at for part, at in self._part_known_at.items() if part in left
        }

    def _is_enough(self, part, crashes, requests):
        if part in self._blocked_before:
            return True
        return crashes >= MIN_CRASHES and requests >= MIN_REQUESTS

    def _is_sound(self, shared_parts):
        """Return whether all parts were in prompts that were answered lately."""
        oldest_at = self._clock.monotonic() - EVIDENCE_S
        return all(
            max(
                self._sound_at.get(part, oldest_at),
                self._sound_at_peers.get(part, oldest_at),
            )
            > oldest_at
            for part in shared_parts
        )

    def _block(self, part, crashes, source):
        self._blocked_until[part] = self._clock.monotonic() + BLOCK_S
        self._blocked_before.add(part)
        event(
            "prompt part blocked",
            part=part,
            source=source,
            crashes=[crash.server for crash in crashes],
            for_s=BLOCK_S,
        )

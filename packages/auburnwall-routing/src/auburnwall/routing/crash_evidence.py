"""Finds the prompt parts that crash servers, from what crashed servers were doing.

Failure pattern: every server that begins to answer a prompt with a certain part
crashes. Such requests come at all nodes, no two are alike, and each one is sent to a
second server when the first has crashed, so server after server is lost. All that the
crashed servers have in common is the part. It is blocked once it alone explains several
crashes, which the nodes report to each other.

A crashed server had sound requests as well, so their parts are in the evidence too. A
part is sound if a request with it was answered lately, at any node.
"""

from collections import Counter, OrderedDict
from itertools import chain
from typing import NamedTuple

from auburnwall.base.logs import event

# Crashes with a part after which it is blocked. Two may be a coincidence: a request
# that is sent again after a crash may meet an unrelated second one.
MIN_CRASHES = 3
# Time for which a crash counts, and for which an answer shows that its parts are sound,
# in seconds.
EVIDENCE_S = 60.0
# Time for which a part is blocked, in seconds. After that, one more crash is enough.
BLOCK_S = 300.0
# Time for which peers are told of a crash, in seconds.
TELL_PEERS_S = 10.0
# Time after which the evidence is evaluated again once it has settled, in seconds; it
# changes no decision after that until it grows.
EVALUATION_MARGIN_S = 1.0
# Limits on what is remembered, and on what a heartbeat carries.
MAX_SOUND_PARTS, MAX_CRASHES, MAX_PROMPTS_PER_CRASH = 8_192, 64, 8
MAX_CRASHES_TOLD = 16


class Crash(NamedTuple):
    """A server that has crashed, in the incarnation that ``born`` identifies."""

    server: str
    born: int


class _KnownCrash(NamedTuple):
    """Since when a crash is known, and the shared parts of each prompt in flight.

    ``is_own`` is whether this node has seen it itself.
    """

    known_at: float
    prompts: set
    is_own: bool


def find_crashing_parts(prompts_by_crash, sound_parts, min_crashes):
    """Return the parts that explain crashes, as pairs of a part and its crashes.

    ``prompts_by_crash`` holds the prompts in flight at each crash, as tuples of their
    shared parts. ``min_crashes(part)`` is how many crashes a part must explain. The
    part with the most crashes comes first. Of parts with equally many, it is the one
    that comes last in its prompt, since prompts have fewer of their later parts in
    common. Its crashes are then evidence against no other part.
    """
    unexplained, found = dict(prompts_by_crash), []
    while True:
        counts, positions = Counter(), Counter()
        for prompts in unexplained.values():
            counts.update(set(chain.from_iterable(prompts)) - sound_parts)
            for prompt in prompts:
                for position, part in enumerate(prompt):
                    positions[part] = max(positions[part], position)
        enough = [part for part, n in counts.items() if n >= min_crashes(part)]
        if not enough:
            return found
        worst = max(enough, key=lambda part: (counts[part], positions[part], part))
        explained = {
            crash
            for crash, prompts in unexplained.items()
            if worst in chain.from_iterable(prompts)
        }
        found.append((worst, sorted(explained)))
        for crash in explained:
            del unexplained[crash]


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
        if self._is_sound(prompt):
            return
        event(
            "server crashed",
            request=request_id,
            peer=crash.server,
            born=crash.born,
            parts=prompt,
        )
        self._add(crash, [prompt], is_own=True)

    def note_answered(self, prompt):
        """Record that a request was answered completely."""
        now = self._clock.monotonic()
        for part in prompt:
            self._sound_at[part] = now
            self._sound_at.move_to_end(part)
            self.unblock(part, "answered by a server")
        while len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)

    def note_peers(self, crashes, sound_parts, source):
        """Record what a peer tells, in the form of ``crashes_to_tell`` and so on."""
        now = self._clock.monotonic()
        for part in sound_parts:
            self._sound_at_peers[part] = now
            self.unblock(part, f"answered, says {source}")
        for name, prompts in crashes.items():
            server, _, born = name.rpartition("@")
            parts = [tuple(prompt.split(",")) for prompt in prompts]
            self._add(Crash(server, int(born)), parts, is_own=False)

    def crashes_to_tell(self):
        """Return the crashes that this node has seen lately, as ``SERVER@BORN``.

        Each has the list of the prompts in flight, as parts joined by commas.
        """
        oldest_at = self._clock.monotonic() - TELL_PEERS_S
        own = [
            (crash, known)
            for crash, known in self._crashes.items()
            if known.is_own and known.known_at >= oldest_at
        ]
        return {
            f"{crash.server}@{crash.born}": sorted(map(",".join, known.prompts))
            for crash, known in own[-MAX_CRASHES_TOLD:]
        }

    def sound_parts_to_tell(self):
        """Return the parts in the evidence that this node's requests show as sound."""
        oldest_at = self._clock.monotonic() - EVIDENCE_S
        return sorted(
            part
            for part in self._part_known_at.keys() | self._blocked_until.keys()
            if self._sound_at.get(part, oldest_at) > oldest_at
        )

    def blocked_part(self, prompt):
        """Return a blocked part of a prompt and for how long it is, or ``None``."""
        now = self._clock.monotonic()
        for part in prompt if self._blocked_until else ():
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
        """Unblock a part; it may be blocked again only for enough new crashes."""
        if self._blocked_until.pop(part, None) is not None:
            event("prompt part unblocked", part=part, why=why)
        self._blocked_before.discard(part)

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
        for part, crashes in find_crashing_parts(unexplained, sound, self._min_crashes):
            if now - self._part_known_at[part] >= self._settle_s():
                self._block(part, crashes, "crashes")

    def _add(self, crash, prompts, is_own):
        now = self._clock.monotonic()
        known = self._crashes.get(crash) or _KnownCrash(now, set(), False)
        self._crashes[crash] = known._replace(is_own=known.is_own or is_own)
        for prompt in prompts:
            if prompt in known.prompts or len(known.prompts) >= MAX_PROMPTS_PER_CRASH:
                continue
            known.prompts.add(prompt)
            self._grown_at = now
            for part in prompt:
                self._part_known_at.setdefault(part, now)
        while len(self._crashes) > MAX_CRASHES:
            self._remove([next(iter(self._crashes))])

    def _forget(self, now):
        oldest_at = now - EVIDENCE_S
        self._remove([c for c, k in self._crashes.items() if k.known_at < oldest_at])
        for part in [p for p, at in self._sound_at_peers.items() if at < oldest_at]:
            del self._sound_at_peers[part]
        for part in [p for p, until in self._blocked_until.items() if until <= now]:
            del self._blocked_until[part]
            event("prompt part unblocked", part=part, why="time is over")

    def _remove(self, crashes):
        """Remove crashes, and the parts that are in the evidence only with them."""
        if not crashes:
            return
        for crash in crashes:
            del self._crashes[crash]
        left = {
            part
            for known in self._crashes.values()
            for part in chain.from_iterable(known.prompts)
        }
        self._part_known_at = {
            part: at for part, at in self._part_known_at.items() if part in left
        }

    def _min_crashes(self, part):
        return 1 if part in self._blocked_before else MIN_CRASHES

    def _is_sound(self, prompt):
        """Return whether all parts were in prompts that were answered lately."""
        oldest_at = self._clock.monotonic() - EVIDENCE_S
        return all(
            max(
                self._sound_at.get(part, oldest_at),
                self._sound_at_peers.get(part, oldest_at),
            )
            > oldest_at
            for part in prompt
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

"""What peers have seen at the model servers, passed on to those who act on it."""

from .suspect_reports import SuspectReports, is_suspected


class PeerNews:
    """Pass on the suspect groups, servers' notices, paces and crashes in a ``Load``.

    ``on_suspects(names, node)`` is called with the groups that a peer, or a node behind
    it, suspects, ``on_sound(names, node)`` with those that it no longer suspects while
    it has requests there, ``on_leaving(servers, node)`` with the servers that told it
    that they leave, ``on_limits(limits, node)`` with the limits that servers told it,
    and ``on_crashes(crashes, sound_parts, node)`` with the crashes that it has seen and
    the parts of prompts that it knows to be sound. ``on_paces(paces, node,
    includes_own)`` is called with the paces of slow groups that a peer has measured, or
    with those of all nodes.

    ``report_s`` is the time between two reports of the same peer, in seconds.
    """

    def __init__(self, clock, report_s):
        self.on_suspects = lambda names, node: None
        self.on_sound = lambda names, node: None
        self.on_leaving = lambda servers, node: None
        self.on_limits = lambda limits, node: None
        self.on_crashes = lambda crashes, sound_parts, node: None
        self.on_paces = lambda paces, node, includes_own: None
        self._suspect_reports = SuspectReports(clock, 2 * report_s, report_s)

    def keep_only(self, nodes):
        """Forget the reports of nodes that are not among ``nodes``."""
        self._suspect_reports.keep_only(nodes)

    def pass_on(self, load, node, is_mesh):
        """Pass on what is in a peer's ``Load``.

        Where all nodes exchange heartbeats, one of them has many requests at a group
        and its suspicion is enough. In a larger fleet it has one or two, which may
        stand still for other reasons.
        """
        suspects = [
            name
            for name, count in load.suspects.items()
            if is_mesh or is_suspected(count, load.running.get(name, 0))
        ]
        if suspects:
            self.on_suspects(sorted(suspects), node)
        sound = self._suspect_reports.update(node, load) - set(suspects)
        if sound:
            self.on_sound(sorted(sound), node)
        if load.leaving:
            self.on_leaving(load.leaving, node)
        if load.limits:
            self.on_limits(load.limits, node)
        self.on_paces(load.slow_paces or {}, node, not is_mesh)
        if load.crashes or load.sound_parts:
            self.on_crashes(load.crashes or {}, load.sound_parts or (), node)

"""Base classes of auburnwall's exceptions."""


class AuburnwallError(Exception):
    """Base of all errors: what failed, at which step, and with which peer.

    ``step`` is the short name of an operation (``"log append"``, ``"claim"``). ``peer``
    is the name or address of the other side, empty if there is none.
    """

    def __init__(self, detail, *, step="", peer=""):
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self):
        parts = [self.detail]
        if self.step:
            parts.append(f"step={self.step}")
        if self.peer:
            parts.append(f"peer={self.peer}")
        return " ".join(parts)


class SettingsError(AuburnwallError):
    """Settings are invalid; ``problems`` lists a ``SettingProblem`` for each."""

    def __init__(self, problems):
        self.problems = list(problems)
        lines = [f"{p.setting}: {p.problem}. {p.remedy}" for p in self.problems]
        super().__init__("\n".join(lines), step="read settings")

    def __str__(self):
        return self.detail

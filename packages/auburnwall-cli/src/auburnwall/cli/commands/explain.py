"""``auburnwall explain``: what the system did and why."""

import time

from cleo.helpers import option

from ..base import SHARED_OPTIONS, BaseCommand
from ..nodelogs import read_events, story_of
from ..reading import LogReader, Nodes, rows_of


class ExplainCommand(BaseCommand):
    """Show proposals with verdicts, or a request's events, or a group's obstacle."""

    name = "explain"
    description = "Explain what happened to a group or a request, or in a time."
    options = [
        *SHARED_OPTIONS,
        option("group", None, "Only this group", flag=False),
        option("request", None, "Only this request id", flag=False),
        option(
            "logs",
            None,
            "Files with nodes' log lines, separated by commas, instead of the system",
            flag=False,
        ),
        option("since-s", None, "Only the last seconds", flag=False, default="3600"),
    ]

    def run_command(self):
        """Show decisions from the log, or events from the nodes or their log files."""
        if self.option("logs"):
            return self._from_files(self.option("logs").split(","))
        reader = LogReader(self.cfg.log_url)
        state = reader.catch_up()
        since = time.time() - float(self.option("since-s"))
        if self.option("request"):
            return self._request(state, since)
        rows = [
            _row(record, verdict)
            for record, verdict in reader.verdicts
            if record.time_ms / 1000 >= since
            and record.data.get("kind") != "lease_renew"
            and self._concerns(record)
        ]
        self.show(
            rows, ["offset", "time", "kind", "subject", "verdict", "cause", "reason"]
        )
        if self.option("group"):
            self._obstacle(state)
        return None

    def _from_files(self, paths):
        """Show the lines about a request, a group, or both, as the nodes wrote them."""
        events = read_events(paths)
        found = story_of(
            events, self.option("request") or "", self.option("group") or ""
        )
        self.show(found, ["time", "node", "event", "group", "peer", "detail"])

    def _concerns(self, record):
        group = self.option("group")
        return not group or record.data.get("body", {}).get("group") == group

    def _obstacle(self, state):
        for name, answer in Nodes(state).ask("/admin/status").items():
            for row in (answer or {}).get("groups", ()):
                if row["group"] == self.option("group"):
                    self.say(f"{name}: {row['obstacle'] or 'it may take requests'}")

    def _request(self, state, since):
        answers = Nodes(state).ask("/admin/events")
        rows = [
            {
                "time": _clock(row["time"]),
                "event": row["event"],
                "step": row.get("step", ""),
                "peer": row.get("peer", ""),
                "detail": row.get("why", ""),
            }
            for row in sorted(rows_of(answers, "events"), key=lambda r: r["time"])
            if row.get("request") == self.option("request") and row["time"] >= since
        ]
        self.show(rows, ["time", "event", "step", "peer", "detail"])


def _row(record, verdict):
    body = record.data.get("body", {})
    subject = next(
        (body[key] for key in ("group", "node", "name", "author") if key in body), ""
    )
    return {
        "offset": record.offset,
        "time": _clock(record.time_ms / 1000),
        "kind": record.data.get("kind", "?"),
        "subject": subject,
        "verdict": "accepted" if verdict.accepted else "rejected",
        "cause": body.get("cause", ""),
        "reason": verdict.reason
        + (f" (won by {verdict.winner})" if verdict.winner >= 0 else ""),
    }


def _clock(seconds):
    return time.strftime("%H:%M:%S", time.gmtime(seconds))

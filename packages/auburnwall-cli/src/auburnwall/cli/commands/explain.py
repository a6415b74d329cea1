"""``auburnwall explain``: show what happened and why."""

import time

from cleo.helpers import option

from ..base import SHARED_OPTIONS, BaseCommand
from ..nodelogs import read_events, select_events
from ..reading import LogReader, NodeClient, merge_rows


class ExplainCommand(BaseCommand):
    """Show records with verdicts, a request's events, or why a group cannot serve."""

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
        """Show records from the log, or events from the nodes or their log files."""
        if self.option("logs"):
            return self._show_file_events(self.option("logs").split(","))
        reader = LogReader(self.cfg.log_url)
        state = reader.catch_up()
        since = time.time() - float(self.option("since-s"))
        if self.option("request"):
            return self._show_request(state, since)
        rows = [
            _record_row(record, verdict)
            for record, verdict in reader.verdicts
            if record.time_ms / 1000 >= since
            and record.data.get("kind") != "lease_renew"
            and self._matches_group(record)
        ]
        self.show_rows(
            rows, ["offset", "time", "kind", "subject", "verdict", "cause", "reason"]
        )
        if self.option("group"):
            self._show_obstacles(state)
        return None

    def _show_file_events(self, paths):
        """Show the events of a request, a group, or both from the nodes' log files."""
        events = read_events(paths)
        rows = select_events(
            events, self.option("request") or "", self.option("group") or ""
        )
        self.show_rows(rows, ["time", "node", "event", "group", "peer", "detail"])

    def _matches_group(self, record):
        group = self.option("group")
        return not group or record.data.get("body", {}).get("group") == group

    def _show_obstacles(self, state):
        for name, status in NodeClient(state).request_all("/admin/status").items():
            for row in (status or {}).get("groups", ()):
                if row["group"] == self.option("group"):
                    self.show_text(
                        f"{name}: {row['obstacle'] or 'the group can take requests'}"
                    )

    def _show_request(self, state, since):
        bodies = NodeClient(state).request_all("/admin/events")
        rows = [
            {
                "time": _format_time(row["time"]),
                "event": row["event"],
                "step": row.get("step", ""),
                "peer": row.get("peer", ""),
                "detail": row.get("why", ""),
            }
            for row in sorted(merge_rows(bodies, "events"), key=lambda r: r["time"])
            if row.get("request") == self.option("request") and row["time"] >= since
        ]
        self.show_rows(rows, ["time", "event", "step", "peer", "detail"])


def _record_row(record, verdict):
    body = record.data.get("body", {})
    subject = next(
        (body[key] for key in ("group", "node", "name", "author") if key in body), ""
    )
    return {
        "offset": record.offset,
        "time": _format_time(record.time_ms / 1000),
        "kind": record.data.get("kind", "?"),
        "subject": subject,
        "verdict": "accepted" if verdict.accepted else "rejected",
        "cause": body.get("cause", ""),
        "reason": verdict.reason
        + (f" (won by {verdict.winner})" if verdict.winner >= 0 else ""),
    }


def _format_time(seconds):
    return time.strftime("%H:%M:%S", time.gmtime(seconds))

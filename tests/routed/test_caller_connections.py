"""The log says who ended a request without a whole response, and what it was at."""

import gevent.monkey

gevent.monkey.patch_all()

import socket  # noqa: E402
import struct  # noqa: E402
import unittest  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from unittest import mock  # noqa: E402

import gevent  # noqa: E402
from absl import logging  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.node import callers  # noqa: E402
from auburnwall.node.routed import front  # noqa: E402
from auburnwall.node.routed.connections import (  # noqa: E402
    MAX_CUT_OFF_LINES,
    CallerConnections,
)
from auburnwall.node.routed.metrics import RoutedMetrics  # noqa: E402

from .support import KEY, FrontWithServers, config, wait_until  # noqa: E402

BODY_BYTES = 8_000_000


class CallerConnectionTestCase(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers())
        self.logs = self.enterContext(self.assertLogs(logging.get_absl_logger()))

    def lines(self, *names, request="r-1"):
        """Return the name and fields of each line of these names about a request."""
        return [
            (record.getMessage(), record.fields)
            for record in self.logs.records
            if record.getMessage() in names
            and record.fields.get("request") in (request, None)
        ]

    def end_lines(self):
        """Return the lines about the end of a request."""
        return self.lines(
            "caller connection closed",
            "caller disconnected",
            "stream broken off",
            "request handler failed",
            "request cut off",
        )

    def connect(self):
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.settimeout(5.0)
        sock.connect(("127.0.0.1", self.front.server.server_port))
        return sock

    def send(self, path, request_id="r-1", more=b"Content-Length: 0\r\n\r\n"):
        """Return a connection on which a request has been sent."""
        sock = self.connect()
        head = f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
        head += f"X-Attempt-Id: {request_id}\r\nAuthorization: Bearer {KEY}\r\n"
        sock.sendall(head.encode() + more)
        return sock

    def reset(self, sock):
        """Close a connection with a reset."""
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    def closed_count(self, reason):
        return self.front.metrics.registry.get_sample_value(
            "auburnwall_caller_connections_closed_total", {"reason": reason}
        )


class RequestEndTests(CallerConnectionTestCase):
    def assert_line(self, name, **fields):
        """Check the only line about the request's end; return it."""
        wait_until(self.end_lines)
        gevent.sleep(0.05)
        ((found, line),) = self.end_lines()
        self.assertEqual(found, name)
        self.assertEqual({key: line[key] for key in fields}, fields)
        self.assertLess(line["age_s"], 5.0)
        wait_until(lambda: self.closed_count("unfinished"))
        return line

    def test_late_wake_up_of_the_watch_leaves_the_connection_alone(self):
        """What woke it has been read since; it waited on the socket then."""
        length = b"Content-Length: 0\r\n\r\n"
        with mock.patch.object(callers, "wait_read", lambda fileno: None):
            sock = self.send("/book/x")
            for number in range(2, 6):
                self.assertIn(b" 200 ", sock.recv(65_536))
                head = "POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
                head += f"X-Attempt-Id: r-{number}\r\nAuthorization: Bearer {KEY}\r\n"
                sock.sendall(head.encode() + length)
            self.assertIn(b" 200 ", sock.recv(65_536))

    def test_caller_that_disconnects_in_a_stream(self):
        for server in self.front.engines:
            server.events = 1_000
        sock = self.send("/ask/x")
        self.assertIn(b"200", sock.recv(64))
        sock.close()
        line = self.assert_line("caller connection closed", by="caller")
        self.assertEqual(line["why"], "the caller disconnected")
        self.assertGreater(line["sent_bytes"], 64)

    def test_caller_that_disconnects_before_the_answer(self):
        for server in self.front.desks:
            server.faults.add("stall")
        sock = self.send("/look/x")
        wait_until(lambda: len(self.front.in_flight))
        sock.close()
        self.assert_line(
            "caller disconnected", by="caller", at="await server", sent_bytes=0
        )

    def test_caller_that_disconnects_while_its_request_waits_for_a_place(self):
        with mock.patch.object(
            self.front.placer, "place", lambda *args: gevent.sleep(5.0)
        ):
            sock = self.send("/look/x")
            wait_until(lambda: self.front.gateway.running)
            gevent.sleep(0.05)
            sock.close()
            self.assert_line("caller disconnected", by="caller", at="place")

    def test_caller_that_resets_the_connection_while_it_is_written_to(self):
        for server in self.front.desks:
            server.body_bytes = BODY_BYTES
        sock = self.send("/look/x")
        sock.recv(64)
        gevent.sleep(0.2)
        self.reset(sock)
        line = self.assert_line(
            "caller connection closed", by="caller", step="write to caller"
        )
        self.assertIn("[Errno", line["why"])

    def test_caller_that_stops_reading(self):
        for server in self.front.desks:
            server.body_bytes = BODY_BYTES
        with mock.patch.object(front, "WRITE_STALL_S", 0.2):
            self.send("/look/x")
            line = self.assert_line(
                "caller connection closed", by="caller", step="write to caller"
            )
        self.assertEqual(line["why"], "the caller stopped reading")

    def test_stream_that_the_node_breaks_off(self):
        for server in self.front.engines:
            server.faults.add("cut")
        sock = self.send("/once/x")
        while sock.recv(4096):
            pass
        line = self.assert_line("stream broken off", by="node")
        self.assertGreater(line["sent_bytes"], 64)

    def test_error_of_the_node_in_a_stream(self):
        error = KeyError("lost")
        with mock.patch.object(
            self.front.gateway, "record_response", side_effect=error
        ):
            sock = self.send("/ask/x")
            while sock.recv(4096):
                pass
            line = self.assert_line("request handler failed", by="node")
        self.assertGreater(line["sent_bytes"], 64)

    def test_request_whose_body_is_cut_off_is_named(self):
        sock = self.send("/look/x", more=b"Content-Length: 9\r\n\r\nhalf")
        sock.shutdown(socket.SHUT_WR)
        self.assertIn(b" 400 ", sock.recv(4096).split(b"\r\n")[0])
        ((_, line),) = self.lines("request failed")
        self.assertEqual((line["request"], line["status"]), ("r-1", 400))

    def test_whole_response_has_no_such_line(self):
        sock = self.send("/ask/x", more=b"Connection: close\r\n\r\n")
        while sock.recv(4096):
            pass
        wait_until(lambda: self.closed_count("last response"))
        self.assertEqual(self.end_lines(), [])


class CutOffTests(CallerConnectionTestCase):
    def test_each_running_request_is_named_with_its_step(self):
        front = self.front
        front.desks[0].faults.add("stall")
        front.desks[1].stop()
        self.send("/look/x", "at-server")
        wait_until(lambda: len(front.in_flight) == 1)
        self.send("/look/x", "body", more=b"Content-Length: 9\r\n\r\nhalf")
        wait_until(lambda: front.gateway.running == 2)
        sock = self.send("/ask/x", "stream")
        for server in front.engines:
            server.events = 1_000
        sock.recv(64)
        with mock.patch.object(front.placer, "place", lambda *args: gevent.sleep(1.0)):
            self.send("/look/x", "queued")
            wait_until(lambda: front.gateway.running == 4)
            gevent.sleep(0.05)
            front.connections.log_cut_off()
        steps = {
            fields["request"]: fields["step"]
            for _, fields in (
                *self.lines("request cut off", request="at-server"),
                *self.lines("request cut off", request="body"),
                *self.lines("request cut off", request="queued"),
            )
        }
        self.assertEqual(
            steps,
            {"at-server": "await server", "body": "read body", "queued": "place"},
        )
        ((_, fields),) = self.lines("request cut off", request="stream")
        self.assertIn(fields["step"], ("await server", "write to caller"))
        self.assertGreater(fields["sent_bytes"], 64)
        self.assertEqual((fields["by"], fields["why"]), ("node", "stop"))

    def test_request_that_is_written_to_its_caller(self):
        for server in self.front.desks:
            server.body_bytes = BODY_BYTES
        self.send("/look/x").recv(64)
        gevent.sleep(0.3)
        self.front.connections.log_cut_off()
        ((_, fields),) = self.lines("request cut off")
        self.assertEqual(fields["step"], "write to caller")

    def test_number_of_lines_is_bounded(self):
        connections = CallerConnections(SystemClock(), RoutedMetrics())
        handler = SimpleNamespace(response_length=7)

        begun = []

        def serve():
            with connections.request(handler):
                begun.append(True)
                gevent.sleep(5.0)

        tasks = [gevent.spawn(serve) for _ in range(MAX_CUT_OFF_LINES + 9)]
        self.addCleanup(gevent.killall, tasks)
        wait_until(lambda: len(begun) == len(tasks))
        connections.log_cut_off()
        lines = self.lines("request cut off", request="")
        self.assertEqual(len(lines), MAX_CUT_OFF_LINES)
        ((_, fields),) = self.lines("more requests cut off")
        self.assertEqual(fields["count"], 9)


class ConnectionCountTests(CallerConnectionTestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers(config(IdleTimeoutMs=200)))

    def test_connections_are_counted_by_the_reason_of_their_end(self):
        self.connect()
        wait_until(lambda: self.front.connections.open_count == 1)
        wait_until(lambda: self.closed_count("idle timeout") == 1)
        self.connect().close()
        wait_until(lambda: self.closed_count("caller closed") == 1)
        self.connect().sendall(b"GET / HTTP/9\r\n\r\n")
        wait_until(lambda: self.closed_count("bad head") == 1)
        self.send("/nowhere", more=b"Connection: close\r\n\r\n")
        wait_until(lambda: self.closed_count("last response") == 1)
        self.front.gateway.stop_begun = True
        self.send("/nowhere")
        wait_until(lambda: self.closed_count("stopping") == 1)
        self.assertEqual(self.front.connections.open_count, 0)
        self.assertIsNone(self.closed_count("unfinished"))


if __name__ == "__main__":
    unittest.main()

"""Tests of the HTTP interface for callers, against one node on real sockets.

They cover valid and bad requests, and callers that disconnect or stop reading. After
each test the node must hold nothing for any request.
"""

import json
import socket
import unittest
from contextlib import closing
from unittest import mock

import openai
import urllib3
from uuid6 import uuid7

from auburnwall.node import callers
from standins.engine import response_words

from .support import KEY, MODEL, LiveNode

MESSAGES = [{"role": "user", "content": "Which drums?"}]
PATH = "/v1/chat/completions"


class CallerTestCase(unittest.TestCase):
    settings = {}

    @classmethod
    def setUpClass(cls):
        cls.node = cls.enterClassContext(LiveNode(**cls.settings))

    def setUp(self):
        self.http = urllib3.PoolManager(retries=False, timeout=20.0)
        self.addCleanup(self.http.clear)
        self.addCleanup(self.node.wait_idle)

    def send(self, method, path, body=b"", key=KEY, **headers):
        resp = self.http.request(
            method,
            f"http://{self.node.address}{path}",
            body=body,
            headers={
                **({"Authorization": f"Bearer {key}"} if key else {}),
                **{name.replace("_", "-"): value for name, value in headers.items()},
            },
        )
        return resp, json.loads(resp.data) if resp.data else None

    def completion(self, **fields):
        body = {"model": MODEL, "messages": MESSAGES, "max_tokens": 6, **fields}
        return json.dumps(body).encode()

    def assert_not_run_problem(self, resp, problem, status, step):
        self.assertEqual(resp.status, status, problem)
        self.assertEqual(resp.headers["Content-Type"], "application/problem+json")
        self.assertEqual((problem["status"], problem["step"]), (status, step))
        self.assertEqual(problem["ran"], "not run")
        self.assertEqual(problem["request_id"], resp.headers["X-Request-Id"])


class SlowReaderTests(CallerTestCase):
    """Guards against a stop that cuts off answers that are still being written."""

    def test_answer_counts_as_running_until_it_is_written(self):
        gateway, states = self.node.components.gateway, []
        write = callers.send_available

        def record(sock, data):
            states.append(gateway.running())
            return write(sock, data)

        with mock.patch.object(callers, "send_available", record):
            resp, _ = self.send("GET", "/v1/models")
            self.assertEqual(resp.status, 200)
            resp, _ = self.send("GET", "/admin/status")
        self.assertEqual(states[0], 1)
        self.assertEqual(states[-1], 0)
        self.node.wait_idle()


class ValidRequestTests(CallerTestCase):
    def test_openai_client_gets_streams_and_complete_responses(self):
        client = openai.OpenAI(
            base_url=f"http://{self.node.address}/v1", api_key=KEY, max_retries=0
        )
        expected = response_words(json.dumps(MESSAGES), 6)
        with closing(client):
            self.assertEqual([listed.id for listed in client.models.list()], [MODEL])
            complete = client.chat.completions.create(
                model=MODEL, messages=MESSAGES, max_tokens=6
            )
            stream = client.chat.completions.create(
                model=MODEL, messages=MESSAGES, max_tokens=6, stream=True
            )
            text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
            completion = client.completions.create(
                model=MODEL, prompt="x", max_tokens=3
            )
        self.assertEqual(complete.choices[0].message.content.split(), expected)
        self.assertEqual(text.split(), expected)
        self.assertEqual(completion.choices[0].text.split(), response_words("x", 3))

    def test_entry_points_list_the_node_and_a_hold_time(self):
        resp, answer = self.send("GET", "/v1/entrypoints", key=None)
        self.assertEqual(resp.status, 200)
        self.assertEqual(
            [point["url"] for point in answer["entrypoints"]],
            [f"http://{self.node.address}"],
        )
        self.assertGreater(answer["hold_s"], 0)

    def test_response_has_the_request_id_of_the_caller(self):
        resp, _ = self.send("POST", PATH, self.completion(), X_Request_Id="job-17")
        self.assertEqual((resp.status, resp.headers["X-Request-Id"]), (200, "job-17"))

    def test_retried_booking_runs_once_and_gets_the_same_response(self):
        before = len(self.node.booking.bookings)
        key = str(uuid7())
        answers = [
            self.send(
                "POST",
                "/v1/services/booking/bookings",
                b'{"slot": 1}',
                Idempotency_Key=key,
                Content_Type="application/json",
            )
            for _ in range(2)
        ]
        self.assertEqual([resp.status for resp, _ in answers], [201, 201])
        self.assertEqual(answers[0][1], answers[1][1])
        self.assertEqual(len(self.node.booking.bookings), before + 1)

    def test_idempotent_service_call_needs_no_key(self):
        resp, answer = self.send("GET", "/v1/services/booking/schedule")
        self.assertEqual(resp.status, 200)
        self.assertIn("booked", answer)

    def test_body_in_chunks(self):
        body = self.completion()
        resp, fields = self.send("POST", PATH, iter([body[:9], body[9:]]))
        self.assertEqual(resp.status, 200, fields)

    def test_metrics_are_exposed(self):
        self.send("POST", PATH, self.completion())
        resp = self.http.request("GET", f"http://{self.node.address}/metrics")
        self.assertIn(b"auburnwall_first_token_seconds", resp.data)
        self.assertIn(b"auburnwall_requests_total", resp.data)


class BadRequestTests(CallerTestCase):
    settings = {"most_body_bytes": 4_096}

    def test_oversized_body(self):
        resp, problem = self.send("POST", PATH, self.completion(x="y" * 5_000))
        self.assert_not_run_problem(resp, problem, 413, "read request")
        self.assertIn("4096 bytes", problem["detail"])

    def test_broken_json(self):
        resp, problem = self.send("POST", PATH, b'{"model": ')
        self.assert_not_run_problem(resp, problem, 400, "read request")
        self.assertIn("not JSON", problem["detail"])

    def test_body_that_reads_like_chunks(self):
        body = self.completion()
        resp, problem = self.send(
            "POST", PATH, iter([b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)])
        )
        self.assert_not_run_problem(resp, problem, 400, "read request")

    def test_body_that_is_cut_off(self):
        body = self.completion()
        head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        host, _, port = self.node.address.rpartition(":")
        for framing in (
            b"Content-Length: %d\r\n\r\n" % (len(body) + 1),
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % (len(body) + 1),
        ):
            with (
                self.subTest(framing=framing),
                socket.create_connection((host, int(port)), timeout=5.0) as sock,
            ):
                sock.sendall(head.encode() + framing + body)
                sock.shutdown(socket.SHUT_WR)
                self.assertEqual(sock.recv(65536)[:12], b"HTTP/1.1 400")

    def test_body_that_is_not_an_object(self):
        resp, problem = self.send("POST", PATH, b"[1]")
        self.assert_not_run_problem(resp, problem, 400, "read request")

    def test_unknown_model_is_answered_with_the_known_ones(self):
        resp, problem = self.send("POST", PATH, self.completion(model="nine"))
        self.assert_not_run_problem(resp, problem, 404, "find model")
        self.assertIn(MODEL, problem["detail"])

    def test_missing_or_unknown_api_key(self):
        for key in (None, "nobody's"):
            resp, problem = self.send("POST", PATH, self.completion(), key=key)
            self.assert_not_run_problem(resp, problem, 401, "check key")

    def test_bad_deadline_and_priority(self):
        for name in ("X_Auburnwall_Deadline_Ms", "X_Auburnwall_Priority"):
            resp, problem = self.send("POST", PATH, self.completion(), **{name: "soon"})
            self.assert_not_run_problem(resp, problem, 400, "read request")
            self.assertIn(name.replace("_", "-"), problem["detail"])

    def test_unknown_service(self):
        resp, problem = self.send("POST", "/v1/services/none/x", b"{}")
        self.assert_not_run_problem(resp, problem, 404, "find service")

    def test_booking_without_an_idempotency_key(self):
        before = len(self.node.booking.bookings)
        resp, problem = self.send("POST", "/v1/services/booking/bookings", b"{}")
        self.assert_not_run_problem(resp, problem, 400, "check key")
        self.assertIn("Idempotency-Key", problem["title"])
        self.assertEqual(len(self.node.booking.bookings), before)

    def test_malformed_or_expired_idempotency_key(self):
        for key in ("seventeen", "018f0000-0000-7000-8000-000000000001"):
            resp, problem = self.send(
                "POST", "/v1/services/booking/bookings", b"{}", Idempotency_Key=key
            )
            self.assertEqual((resp.status, problem["step"]), (400, "check key"))

    def test_idempotency_key_reused_for_another_request(self):
        key = str(uuid7())
        path = "/v1/services/booking/bookings"
        headers = {"Content_Type": "application/json", "Idempotency_Key": key}
        self.send("POST", path, b'{"slot": 1}', **headers)
        resp, problem = self.send("POST", path, b'{"slot": 2}', **headers)
        self.assertEqual((resp.status, problem["step"]), (422, "check key"))

    def test_unknown_path(self):
        resp, problem = self.send("GET", "/v2/nothing")
        self.assertEqual((resp.status, problem["step"]), (404, "find route"))


class DisconnectedAndStalledCallerTests(CallerTestCase):
    settings = {"write_stall_s": 0.5}

    def open_stream(self, tokens):
        """Request a stream of ``tokens`` tokens over a new socket; return the socket.

        Its receive buffer is small, so that a caller that does not read soon blocks
        the node's writes.
        """
        body = self.completion(stream=True, max_tokens=tokens)
        sock = socket.create_connection(self.node.address.rsplit(":", 1))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.sendall(
            f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        return sock

    def test_disconnect_during_the_stream_releases_everything(self):
        with closing(self.open_stream(2_000)) as sock:
            self.assertIn(b"200 OK", sock.recv(1_000))
        self.node.wait_idle()

    def test_disconnect_before_the_first_token_releases_everything(self):
        with closing(self.open_stream(2_000)):
            self.node.wait(lambda: self.node.held_resources())
        self.node.wait_idle()

    def test_stalled_caller_is_disconnected(self):
        for member in self.node.engines.members.values():
            member.token_s = 0.0
        with closing(self.open_stream(60_000)) as sock:
            self.assertIn(b"200 OK", sock.recv(100))
            self.node.wait_idle()
        for member in self.node.engines.members.values():
            member.token_s = 0.005


if __name__ == "__main__":
    unittest.main()

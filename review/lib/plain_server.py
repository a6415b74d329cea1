"""A server of the application service in a process of its own.

It answers soundly but for the times between the lines ``begin`` and ``end`` on standard
input; ``PlainServer.answer`` says what it does then. It prints a line for each request
that it runs. Each connection has a thread, so that it sends whether or not its caller
is reading.
"""

import http.client
import json
import socket
import subprocess
import sys
import threading
import time
from abc import ABC, abstractmethod
from contextlib import suppress

HEARTBEAT_S = 1.2
SERVICE, ZONE, SLOTS = "app-despacho", "norte-cali", 6
# Size of a sound answer's body: the mean of the site file.
BODY_BYTES = 800
# Line on standard input with which the trouble begins.
BEGIN = "begin"
# Begins the line that a server prints for each request that it runs.
RUN_MARK = "runs"


def sound_body(server, attempt):
    """Return the whole body of a server's answer to an attempt."""
    return f"{server} ran {attempt} ".ljust(BODY_BYTES, ".").encode()


def seal_of(server):
    """Return the seal of a server."""
    return f"seal-of-{server}"


class PlainServer(ABC):
    """One server, which registers in the store with each liveness report."""

    def __init__(self, store, address, server):
        self.server = server
        self.in_trouble = threading.Event()
        self._store = store
        self._address = address
        self._born = int(time.time() * 1000)

    @abstractmethod
    def answer(self, sock, attempt):
        """Answer a request while in trouble; return whether the channel is kept."""

    def main(self):
        """Serve until the process is ended."""
        threading.Thread(target=self._run, daemon=True).start()
        for line in sys.stdin:
            if line.strip() == BEGIN:
                self.in_trouble.set()
            else:
                self.in_trouble.clear()
        threading.Event().wait()

    def head_fields(self, attempt):
        """Return the fields of a head that name the attempt and bear the seal."""
        return f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: {seal_of(self.server)}\r\n"

    def sound_answer(self, attempt):
        """Return the bytes of a sound answer."""
        body = sound_body(self.server, attempt)
        head = (
            f"HTTP/1.1 200 OK\r\n{self.head_fields(attempt)}"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def say(self, text):
        """Print a line for the case."""
        print(text, flush=True)

    def _run(self):
        host, _, port = self._address.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=64)
        threading.Thread(target=self._register, daemon=True).start()
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _register(self):
        for count in range(1, 1 << 30):
            entry = {
                "Service": SERVICE,
                "Address": self._address,
                "Zone": ZONE,
                "Version": "v1",
                "BatchSlots": SLOTS,
                "State": "ready",
                "WarmupLeftMs": 0,
                "Seqno": count,
                "born": self._born,
            }
            body = {"topic": "keyed.servers", "key": self.server, "value": entry}
            with suppress(OSError, http.client.HTTPException):
                conn = http.client.HTTPConnection(self._store, timeout=2.0)
                headers = {"Content-Type": "application/json"}
                conn.request("POST", "/review/put", json.dumps(body), headers)
                conn.getresponse().read()
                conn.close()
            time.sleep(HEARTBEAT_S)

    def _serve(self, sock):
        with suppress(OSError), sock, sock.makefile("rb") as reader:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while line := reader.readline():
                path = line.split()[1].decode()
                headers = http.client.parse_headers(reader)
                body = reader.read(int(headers.get("Content-Length") or 0))
                if not self._answer_any(sock, path, headers, body):
                    return

    def _answer_any(self, sock, path, headers, sent_body):
        if path.startswith("/-/"):
            body = json.dumps({"born": self._born}).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)
            return True
        attempt = headers.get("X-Attempt-Id", "")
        if headers.get("X-Expect-Instance") != self.server:
            head = f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\n"
            sock.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
            return True
        self.say(f"{RUN_MARK} {json.dumps([attempt, sent_body.decode('latin-1')])}")
        if self.in_trouble.is_set():
            return self.answer(sock, attempt)
        sock.sendall(self.sound_answer(attempt))
        return True


class ServerProcess:
    """The process of a ``PlainServer``; ``lines`` are what it has printed."""

    def __init__(self, deployment, module, server, *arguments):
        self.server = server
        self.lines = []
        self._record = deployment.record
        self._process = subprocess.Popen(
            ["python3", "-m", module, deployment.platform, deployment.free_address()]
            + [server, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            **deployment.process_options(),
        )
        threading.Thread(target=self._read, daemon=True).start()

    def runs(self):
        """Return the id and the body of each request that the server has run."""
        texts = [
            line.removeprefix(RUN_MARK)
            for line in list(self.lines)
            if line.startswith(RUN_MARK)
        ]
        return [(a, body.encode("latin-1")) for a, body in map(json.loads, texts)]

    def begin_trouble(self):
        """Let the trouble begin."""
        self._steer(BEGIN)

    def end_trouble(self):
        """Let the trouble end."""
        self._steer("end")

    def end(self):
        """End the process."""
        self._process.kill()
        self._process.wait(10.0)

    def _steer(self, word):
        self._record.write(f"{self.server}: {word} of the trouble")
        self._process.stdin.write(f"{word}\n")
        self._process.stdin.flush()

    def _read(self):
        for line in self._process.stdout:
            self.lines.append(line.strip())
            self._record.write(f"{self.server}: {line.strip()}")

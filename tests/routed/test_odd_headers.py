"""Headers of callers and servers that hold something else than expected."""

import gevent.monkey

gevent.monkey.patch_all()

import http.client  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402

from auburnwall.base.digits import parse_digits  # noqa: E402
from auburnwall.platform.store import StoreTables  # noqa: E402

from .support import KEY, FrontWithServers, send_call  # noqa: E402
from .test_truncated_messages import CuttingServer, answer, front_before  # noqa: E402

ODD_NUMBERS = ("²", "9" * 5_000, "9" * 18, "-1", "1_0", " ", "1e9", "0x10", "nan")
SEALED = ("X-Attempt-Id: %s", "X-Server-Seal: seal-1")


class OddHeaderTests(unittest.TestCase):
    """Guards against a 500 for a header that is not read as it was meant."""

    def test_numbers_of_callers(self):
        with FrontWithServers() as front:
            for number in ODD_NUMBERS:
                for name, value in (
                    ("X-Deadline-Ms", number),
                    ("X-Token-Usage", f"{number},{number}"),
                    ("X-Token-Usage", f"5,{number}"),
                    ("X-Length-Hint", number),
                    ("X-Prompt-Prefix", f"a:{number}"),
                    ("Auburnwall-Servers-Left", number),
                    ("Last-Event-Id", number),
                ):
                    with self.subTest(name=name, value=value[:20]):
                        headers = {name: value.encode("latin-1")}
                        for path in ("/book/x", "/ask/x"):
                            status, _, body = send_call(
                                front.address, "POST", path, "r-1", **headers
                            )
                            # 502 if the header is an error at the server.
                            self.assertIn(status, (200, 400, 502), body)

    def test_header_lines_of_callers(self):
        """Lines that cannot be passed on to a server are the caller's error."""
        lines = (b"a b: c", b"a\x01: c", b": c", b"a: b\rc", b"a: \x00", b"\xe9: c")
        with FrontWithServers() as front:
            host, port = "127.0.0.1", front.server.server_port
            for line in lines:
                with (
                    self.subTest(line=line),
                    socket.create_connection((host, port), timeout=3.0) as sock,
                ):
                    sock.sendall(
                        b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
                        b"X-Attempt-Id: r-1\r\nAuthorization: Bearer "
                        + KEY.encode()
                        + b"\r\n"
                        + line
                        + b"\r\nContent-Length: 2\r\n\r\n{}"
                    )
                    resp = http.client.HTTPResponse(sock)
                    resp.begin()
                    self.assertIn(resp.status, (200, 400), resp.read())

    def test_idle_times_of_servers(self):
        for number in ODD_NUMBERS:
            with self.subTest(number=number[:20]):
                whole = answer(b"ok", *SEALED, "Keep-Alive: timeout=@")
                whole = whole.replace(b"@", number.encode("latin-1"))
                server = CuttingServer(whole)
                self.addCleanup(server.stop)
                with front_before(server, "desks") as front:
                    status, _, body = send_call(front.address, "POST", "/book/x", "r1")
                    self.assertEqual((status, body), (200, b"ok"))

    def test_eras_of_the_store(self):
        page = b'{"Entries": [], "HasMore": false, "End": 3}'
        for number in ODD_NUMBERS:
            with self.subTest(number=number[:20]):
                whole = answer(page, "Store-Era: @")
                server = CuttingServer(whole.replace(b"@", number.encode("latin-1")))
                self.addCleanup(server.stop)
                era = StoreTables(server.address).newest("fleet").era
                self.assertLess(era, 2**63)

    def test_digits(self):
        self.assertEqual(parse_digits("0" * 5_000 + "7", 10), 7)
        self.assertEqual(parse_digits("9" * 5_000, 10), 10)
        for text in ("", "²", "٣", "+1", "1 ", "1.0"):
            self.assertIsNone(parse_digits(text, 10))


if __name__ == "__main__":
    unittest.main()

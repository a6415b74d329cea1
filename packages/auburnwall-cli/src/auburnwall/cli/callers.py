"""A client that discovers entry addresses, caches them and sends requests."""

import json
import random
import time

from urllib3.exceptions import HTTPError

from auburnwall.base.exceptions import AuburnwallError
from auburnwall.base.http import exchange_json, new_pool, timeout

READ_TIMEOUT_S = 60.0


class CallerError(AuburnwallError):
    """A request was not served.

    ``status`` is the status of the response or one of these: ``"no entry"`` if no list
    of entry addresses could be fetched, ``"no answer"`` if no response came, ``"cut"``
    if the response ended too early, ``"broken"`` if the stream reported an error.
    ``problem`` is the body of the response, if there was one, or a description.
    """

    def __init__(self, status, problem, *, step, peer):
        super().__init__(str(problem), step=step, peer=peer)
        self.status = status
        self.problem = problem


class Caller:
    """A well-behaved caller; see ``docs/howto/call.md``."""

    def __init__(self, seed_address, key, *, rng=None):
        self._known_urls = [f"http://{seed_address}"]
        self._entry_points = []
        self._valid_until = 0.0
        self._key = key
        self._rng = rng or random.Random()
        self._pool = new_pool()

    def entry(self):
        """Return the URL of an entry address; refresh the list when it has expired."""
        if time.monotonic() >= self._valid_until:
            self._fetch_entry_points()
        weights = [point["weight"] for point in self._entry_points]
        return self._rng.choices(self._entry_points, weights)[0]["url"]

    def stream(self, body, headers=None):
        """Yield the pieces of text of a streamed completion; raise ``CallerError``."""
        url = self.entry()
        resp = self._send("POST", url, "/v1/chat/completions", body, headers)
        done = False
        try:
            if resp.status != 200:
                raise self._refusal(resp, url)
            for line in _split_lines(resp.stream(65_536)):
                if line == b"data: [DONE]":
                    done = True
                elif line.startswith(b"data: "):
                    yield from _event_text(json.loads(line[6:]), url)
            if not done:
                raise CallerError(
                    "cut", "the stream ended without [DONE]", step="read", peer=url
                )
        except HTTPError as exc:
            raise CallerError("cut", str(exc), step="read", peer=url) from exc
        finally:
            if not done:
                resp.close()
            resp.release_conn()

    def call(self, method, path, body=None, headers=None):
        """Return status, headers and decoded body of a request without streaming.

        Raises ``CallerError`` if there is no complete response.
        """
        url = self.entry()
        resp = self._send(method, url, path, body, headers)
        try:
            data = resp.read()
        except HTTPError as exc:
            raise CallerError("cut", str(exc), step="read", peer=url) from exc
        return resp.status, resp.headers, json.loads(data) if data else None

    def _send(self, method, url, path, body, headers):
        try:
            return self._pool.request(
                method,
                url + path,
                body=None if body is None else json.dumps(body),
                headers={
                    "Authorization": f"Bearer {self._key}",
                    "Content-Type": "application/json",
                    **(headers or {}),
                },
                timeout=timeout(2.0, READ_TIMEOUT_S),
                preload_content=False,
            )
        except HTTPError as exc:
            self._valid_until = 0.0
            raise CallerError("no answer", str(exc), step="send", peer=url) from exc

    def _fetch_entry_points(self):
        error = None
        for url in self._rng.sample(self._known_urls, len(self._known_urls)):
            try:
                status, listing = exchange_json(
                    self._pool, "GET", url + "/v1/entrypoints"
                )
            except (HTTPError, ValueError) as exc:
                error = exc
                continue
            if status == 200 and listing["entrypoints"]:
                self._entry_points = listing["entrypoints"]
                self._known_urls = sorted(
                    {*self._known_urls, *(point["url"] for point in self._entry_points)}
                )
                self._valid_until = time.monotonic() + listing["hold_s"]
                return
        raise CallerError("no entry", str(error), step="ask for entry", peer="")

    def _refusal(self, resp, url):
        data = resp.read()
        try:
            problem = json.loads(data)
        except ValueError:
            problem = {"detail": data[:200].decode("utf-8", "replace")}
        return CallerError(resp.status, problem, step="answer", peer=url)


def _split_lines(chunks):
    incomplete = b""
    for chunk in chunks:
        *lines, incomplete = (incomplete + chunk).split(b"\n")
        yield from lines


def _event_text(event, url):
    if "error" in event:
        raise CallerError("broken", event["error"], step="stream", peer=url)
    for choice in event["choices"]:
        text = choice["delta"].get("content")
        if text:
            yield text

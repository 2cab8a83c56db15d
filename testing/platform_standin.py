"""Fakes of the users' platform: its metadata store and its back ends.

    store = Store(("127.93.0.9", 8142))
    store.put("op/config", json.dumps({...}))
    back_end = BackEnd(("127.93.0.1", 8145), "i-1")

Both serve in threads of this process until close(). The store supports paged listing and
watches, can refuse calls, stop responding, drop connections, compact its history, and be
restored from a copy.
"""
import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

SERVE_POLL_S = 0.05


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignores errors of connections that nodes close, which tests cause on purpose."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def _serve(address, handler):
    server = _Server(address, handler)
    threading.Thread(target=server.serve_forever, args=(SERVE_POLL_S,), daemon=True).start()
    return server


class Store:
    """A key-value store with one revision counter, paged listing and watches."""

    def __init__(self, address, page=2):
        self.page = page
        self.mode = "up"  # up, refuse (503), limit (429), silent, lost
        self.calls = 0
        self._items = {}
        self._history = []
        self._compacted_revision = 0
        self._revision = 100
        self._era = 1
        self._copy = None
        self._changed = threading.Condition()
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store.serve(self)

        self._server = _serve(address, Handler)

    def close(self):
        with self._changed:
            self.mode = "refuse"
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, value):
        with self._changed:
            self._revision += 1
            data = value if isinstance(value, bytes) else value.encode()
            event = {"key": key, "value": base64.b64encode(data).decode(), "rev": self._revision,
                     "createdRev": self._revision, "lease": 0}
            self._items[key] = event
            self._history.append(event)
            self._changed.notify_all()

    def remove(self, key):
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._history.append({"key": key, "rev": self._revision, "tombstone": True})
            self._changed.notify_all()

    def set_mode(self, mode):
        with self._changed:
            self.mode = mode
            self._changed.notify_all()

    def compact_history(self):
        with self._changed:
            self._compacted_revision = self._revision
            self._history.clear()

    def take_copy(self):
        with self._changed:
            self._copy = (dict(self._items), list(self._history), self._revision)

    def restore(self):
        """Goes back to the copy: what was written since is lost, and its revisions come again."""
        with self._changed:
            items, history, self._revision = self._copy
            self._items, self._history = dict(items), list(history)
            self._era += 1
            self._changed.notify_all()

    def serve(self, call):
        self.calls += 1
        if self.mode == "silent":
            time.sleep(30)
            return
        if self.mode in ("refuse", "limit"):
            call.answer(503 if self.mode == "refuse" else 429)
            return
        if self.mode == "lost":
            call.close_connection = True
            return
        url = urlparse(call.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/pomelohead/kv-range":
            body = self._range(query)
        elif url.path == "/pomelohead/kv-watch":
            body = self._watch(query)
        else:
            call.answer(404)
            return
        if self.mode != "up":
            call.close_connection = True  # the outage began while a watch was waiting
            return
        era = ("Store-Era", str(self._era))
        if body is None:
            call.answer(410, b"", [era])
            return
        call.answer(200, json.dumps(body).encode(), [("Content-Type", "application/json"), era])

    def _range(self, query):
        with self._changed:
            keys = sorted(k for k in self._items
                          if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            return {"items": [self._items[k] for k in keys[:self.page]],
                    "hasMore": len(keys) > self.page, "storeRevision": self._revision}

    def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000

        def new_events():
            return [e for e in self._history
                    if e["rev"] > after and e["key"].startswith(query.get("prefix", ""))]

        with self._changed:
            while (self._compacted_revision <= after <= self._revision and not new_events()
                   and self.mode == "up"):
                left = end - time.monotonic()
                if left <= 0:
                    break
                self._changed.wait(left)
            if not self._compacted_revision <= after <= self._revision:
                return None
            return {"events": new_events(), "storeRevision": self._revision}


class BackEnd:
    """Responds with its instance id and records the headers of each request it runs. While it is
    cold, it states so on its health page, and its cold_rate is how many requests a second it takes.
    """

    def __init__(self, address, instance, delay_s=0.0, cold_s=0.0, cold_rate=0.0):
        self.instance = instance
        self.delay_s = delay_s
        self.cold_rate = cold_rate
        self.health_queries = 0
        self.runs = []
        self._cold_until = time.monotonic() + cold_s
        self._cold_starts = []
        back_end = self

        class Handler(_Handler):
            def do_GET(self):
                back_end.serve(self)

            do_POST = do_GET

        self._server = _serve(address, Handler)

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    def cold_left_s(self):
        return max(0.0, self._cold_until - time.monotonic())

    def most_cold_starts(self, window_s):
        """The most requests that began within any such time while it was cold."""
        starts = sorted(self._cold_starts)
        return max((sum(1 for s in starts if first <= s < first + window_s) for first in starts),
                   default=0)

    def serve(self, call):
        if call.path == "/health":
            self.health_queries += 1
            call.answer(200, b"", [("Pomelohead-Instance-Id", self.instance),
                                   ("Pomelohead-Cold-Ms", str(round(self.cold_left_s() * 1000)))])
            return
        length = int(call.headers.get("Content-Length", 0))
        body = call.rfile.read(length)
        expected = call.headers.get("Pomelohead-Target-Instance")
        if expected and expected != self.instance:
            call.answer(421, b"", [("Pomelohead-Instance-Id", self.instance)])
            return
        self.runs.append(dict(call.headers))
        if self.cold_left_s() > 0:
            self._cold_starts.append(time.monotonic())
        time.sleep(self.delay_s)
        call.answer(200, f"{self.instance} {len(body)}".encode(),
                    [("Pomelohead-Attempt-Id", call.headers["Pomelohead-Attempt-Id"]),
                     ("Pomelohead-Response-Seal", "seal")])

"""A back end as the pages describe it, on a socket, with hooks for what it does to a request.

    backend = Backend(("127.20.1.1", 12004), "i-1", record, work_s=0.05)
    backend.runs        # what it began to work on, in order

A request that expects another instance gets 421. All others run: they are recorded, take
`work_s`, and are answered with the id, a seal and a body that names the request.
"""
import socket
import threading
import time

MAX_HEAD = 65536


class Request:
    def __init__(self, method, path, fields, body):
        self.method, self.path, self.fields, self.body = method, path, fields, body

    def field(self, name):
        return self.fields.get(name.lower(), "")

    @property
    def identity(self):
        return self.field("Pomelohead-Attempt-Id")


class Connection:
    """Reads requests from one socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def read_head(self):
        while b"\r\n\r\n" not in self.buffer:
            if len(self.buffer) > MAX_HEAD:
                raise ConnectionError("head too long")
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
        return Request(method, path, fields, b"")

    def read_exactly(self, size):
        while len(self.buffer) < size:
            self._more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def read_body(self, request):
        if request.field("Transfer-Encoding").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in self.buffer:
                    self._more()
                size_line, self.buffer = self.buffer.split(b"\r\n", 1)
                size = int(size_line.split(b";")[0], 16)
                body += self.read_exactly(size)
                self.read_exactly(2)
                if size == 0:
                    return body
        return self.read_exactly(int(request.field("Content-Length") or 0))


def response(identity, status=200, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    if identity:
        lines.append(f"Pomelohead-Attempt-Id: {identity}")
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Backend:
    def __init__(self, address, instance, record, work_s=0.02, on_request=None, buffer_bytes=0):
        """on_request(backend, connection, request): True if it has dealt with the request; it is
        called before the body is read."""
        self.instance = instance
        self.record = record
        self.work_s = work_s
        self.on_request = on_request
        self.runs = []
        self._lock = threading.Lock()
        self._connections = set()
        self._exited = False
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if buffer_bytes:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self._socket.bind(address)
        self._socket.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()

    def exit(self):
        """Ends as a process does: the listener and all connections are closed."""
        self._exited = True
        # A connection wakes accept(), which a close alone would leave waiting.
        with socket.socket() as wake:
            wake.connect(self._socket.getsockname())
        self._socket.close()
        with self._lock:
            for sock in self._connections:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def _accept(self):
        while True:
            sock, _ = self._socket.accept()
            if self._exited:
                sock.close()
                return
            with self._lock:
                self._connections.add(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def note_run(self, request):
        with self._lock:
            self.runs.append(request)
        self.record.line(f"{self.instance} runs {request.method} {request.path} "
                         f"id={request.identity}")

    def _serve(self, sock):
        connection = Connection(sock)
        try:
            while True:
                self._serve_one(connection)
        except (ConnectionError, OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def _serve_one(self, connection):
        request = connection.read_head()
        expected = request.field("Pomelohead-Target-Instance")
        if expected and expected != self.instance:
            connection.read_body(request)
            connection.sock.sendall(response(request.identity, 421, b"", [
                ("Pomelohead-Instance-Id", self.instance)]))
            return
        if request.path == "/health":
            connection.sock.sendall(response("", 200, b"", [
                ("Pomelohead-Instance-Id", self.instance)]))
            return
        if self.on_request and self.on_request(self, connection, request):
            return
        self.note_run(request)
        request.body = connection.read_body(request)
        time.sleep(self.work_s)
        body = f"{self.instance} {request.path} {request.identity} {len(request.body)}".encode()
        connection.sock.sendall(response(request.identity, 200, body, [
            ("Pomelohead-Response-Seal", f"seal-{request.identity}")]))

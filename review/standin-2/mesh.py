"""Stand-ins for the scripted cases: the platform's store, backends and clients, and the nodes.

    async with Mesh(directory, nodes=3) as mesh:
        backend = await mesh.add_backend(0, "i-1")
        await mesh.publish_configuration()
        await mesh.start_nodes()
        answer = await mesh.request(mesh.nodes[1], "GET", "/a/x")

Everything listens on loopback addresses and free ports. What is sent, answered and run is written
to record.txt, one line an event, with the seconds since the start.
"""
import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import tomllib
from urllib.parse import parse_qs, urlparse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("dolgellau", "bala", "porthmadog")
SLOTS = 9
QUEUE = 36
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
CONFIG_S = 2.0
GRACE_S = 6.0
START_LIMIT_S = 10.0


def free_net():
    """A second and third octet whose addresses take the ports that the mesh uses."""
    for _ in range(200):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 9):
                probe = socket.socket()
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f"{net}.{host}", 8145))
                probe.close()
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Record:
    def __init__(self, path):
        self.start = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


async def read_message(reader):
    """The first line, the fields by lower-case name, and the body of one HTTP/1.1 message."""
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readuntil(b"\r\n")) != b"\r\n":
            pass
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return head[0], fields, body


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Calls `serve(reader, writer)` for each connection; close() resets all of them."""

    def __init__(self, serve):
        self._serve = serve
        self._server = None
        self._writers = set()

    async def start(self, address, port):
        self._server = await asyncio.start_server(self._run, address, port, backlog=512,
                                                  reuse_address=True)
        return self._server.sockets[0].getsockname()[1]

    async def _run(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        if self._server is not None:
            self._server.close()
        self.reset()


class Store:
    """The platform's store: paged lists, watches, one revision counter."""

    PAGE = 50

    def __init__(self, record):
        self.record = record
        self._items = {}
        self._history = []
        self._told = {}
        self._revision = 100
        self._changed = asyncio.Condition()
        self._http = HttpServer(self._serve)
        self.address = None

    async def start(self, address):
        port = await self._http.start(address, 0)
        self.address = f"{address}:{port}"

    def close(self):
        self._http.close()

    async def put(self, key, value):
        """Writes a value; returns once it is acknowledged."""
        async with self._changed:
            # A registration changes when more than its sequence does.
            if isinstance(value, dict) and "status" in value:
                told = json.loads(json.dumps(value))
                told["status"].pop("sequence")
                if self._told.get(key) == told:
                    return
                self._told[key] = told
            self._revision += 1
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            old = self._items.get(key)
            item = {"key": key, "value": base64.b64encode(data).decode(), "rev": self._revision,
                    "createdRev": old["createdRev"] if old else self._revision, "lease": 0}
            self._items[key] = item
            self._history.append(item)
            self._changed.notify_all()

    async def remove(self, key):
        async with self._changed:
            self._told.pop(key, None)
            if self._items.pop(key, None):
                self._revision += 1
                self._history.append({"key": key, "rev": self._revision, "tombstone": True})
                self._changed.notify_all()

    async def _serve(self, reader, writer):
        while True:
            first, _, _ = await read_message(reader)
            url = urlparse(first.split(" ")[1])
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            body = None
            if url.path == "/pomelohead/kv-range":
                body = self._range(query)
            elif url.path == "/pomelohead/kv-watch":
                body = await self._watch(query)
            elif url.path == "/pomelohead/kv-key":
                body = self._items.get(query.get("key", ""))
                if body is not None:
                    body = {**body, "storeRevision": self._revision}
            data = b"" if body is None else json.dumps(body).encode()
            status = "404 Not Found" if body is None else "200 OK"
            writer.write(message(f"HTTP/1.1 {status}", [("Content-Type", "application/json")], data))
            await writer.drain()

    def _range(self, query):
        keys = sorted(key for key in self._items
                      if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
        return {"items": [self._items[key] for key in keys[:self.PAGE]],
                "hasMore": len(keys) > self.PAGE, "storeRevision": self._revision}

    async def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000

        def events():
            return [event for event in self._history if event["rev"] > after
                    and event["key"].startswith(query.get("prefix", ""))]

        async with self._changed:
            while not events() and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
            return {"events": events(), "storeRevision": self._revision}


class Link:
    """A node's way to the store. While it is cut it is silent in both directions; what was held up
    is lost."""

    def __init__(self, mesh):
        self._mesh = mesh
        self._http = HttpServer(self._serve)
        self._is_cut = False
        self._held = asyncio.Event()
        self.address = None

    async def start(self, address):
        self._held.set()
        self.address = f"{address}:{await self._http.start(address, 0)}"

    def cut(self):
        self._is_cut = True
        self._held.clear()

    def heal(self):
        self._is_cut = False
        self._http.reset()
        self._held.set()

    def close(self):
        self._http.close()

    async def _serve(self, reader, writer):
        await self._held.wait()
        host, _, port = self._mesh.store.address.rpartition(":")
        remote_reader, remote_writer = await asyncio.open_connection(host, int(port))

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    await self._held.wait()
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            finally:
                sink.close()

        try:
            await asyncio.gather(pump(reader, remote_writer), pump(remote_reader, writer))
        finally:
            remote_writer.transport.abort()


class Boot:
    """What one start of a backend runs and holds in its queue."""

    def __init__(self):
        self.at_work = 0
        self.waiting = []


class Backend:
    """A backend beside a node: slots and a queue, and a registration that it keeps current."""

    def __init__(self, mesh, number, identity, service, work_s):
        self.mesh = mesh
        self.number = number
        self.identity = identity
        self.service = service
        self.work_s = work_s
        self.clock_offset_s = 0.0
        self.is_draining = False
        self.is_up = False
        self.arrivals = []  # (time, attempt id)
        self._boot = Boot()
        self._sequence = 0
        self._born = 0
        self._http = None
        self._beats = None

    @property
    def address(self):
        return self.mesh.host(self.number)

    async def start(self):
        """Starts, as a new boot that knows nothing of an earlier one, and registers."""
        self._http = HttpServer(self._serve)
        await self._http.start(self.address, self.mesh.app_port)
        self._boot = Boot()
        self._sequence = 0
        self._born = int((time.time() + self.clock_offset_s) * 1000)
        self.is_draining = False
        self.is_up = True
        self.mesh.record(f"backend {self.identity} starts, born {self._born}")
        await self._register()
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._register()

    async def _register(self):
        self._sequence += 1
        await self.mesh.store.put(f"servers/{self.identity}", {
            "addr": f"{self.address}:{self.mesh.app_port}",
            "born": self._born,
            "info": {"service": self.service, "version": "1.0.0",
                     "zone": self.mesh.zone(self.number), "slots": SLOTS},
            "status": {"state": "draining" if self.is_draining else "ready",
                       "sequence": self._sequence, "coldLeftMs": 0}})

    async def drain(self):
        """Reports that it leaves; returns at the store's acknowledgement."""
        self.is_draining = True
        await self._register()
        self.mesh.record(f"backend {self.identity} has reported draining, acknowledged")

    async def leave(self):
        self.end()
        await self.deregister()

    async def deregister(self):
        """Removes the entry; returns at the store's acknowledgement."""
        self._beats.cancel()
        await self.mesh.store.remove(f"servers/{self.identity}")
        self.mesh.record(f"entry of backend {self.identity} is removed, acknowledged")

    def end(self):
        """The process ends: its connections are reset, what it runs is lost."""
        self._beats.cancel()
        self._http.close()
        self.is_up = False
        self.mesh.record(f"backend {self.identity} ends, {self._boot.at_work} requests at work")

    async def _serve(self, reader, writer):
        boot = self._born
        while True:
            first, fields, body = await read_message(reader)
            if self._born != boot or not self.is_up:
                return
            method, target, _ = first.split(" ", 2)
            status, headers, answer = await self._answer(method, target, fields, body)
            headers.append(("Connection", "close" if self.is_draining else "keep-alive"))
            writer.write(message(f"HTTP/1.1 {status}", headers, answer))
            await writer.drain()
            if self.is_draining:
                return

    async def _answer(self, method, target, fields, body):
        if target == "/health":
            return ("503 Leaving" if self.is_draining else "200 OK",
                    [("Pomelohead-Instance-Id", self.identity)], b"")
        attempt = fields.get("pomelohead-attempt-id")
        if not attempt:
            return "400 Bad Request", [("Pomelohead-Not-Executed", "1")], b""
        echo = [("Pomelohead-Attempt-Id", attempt)]
        if fields.get("pomelohead-target-instance", self.identity) != self.identity:
            return "421 Misdirected Request", echo + [("Pomelohead-Not-Executed", "1")], b""
        self.arrivals.append((time.monotonic(), attempt))
        self.mesh.record(f"backend {self.identity} gets {attempt} {method} {target}")
        boot = self._boot
        stops_at = time.monotonic() + int(fields.get("pomelohead-deadline-ms", 60_000)) / 1000
        if boot.at_work >= SLOTS:
            if len(boot.waiting) >= QUEUE:
                return "503 Full", echo + [("Pomelohead-Not-Executed", "1")], b""
            turn = asyncio.get_running_loop().create_future()
            boot.waiting.append(turn)
            await asyncio.wait([turn], timeout=stops_at - time.monotonic())
            if not turn.done():
                boot.waiting.remove(turn)
                return "503 Late", echo + [("Pomelohead-Not-Executed", "1")], b""
        boot.at_work += 1
        try:
            await asyncio.wait_for(self.run(attempt, method, target, fields, body),
                                   stops_at - time.monotonic())
        except TimeoutError:
            return "504 Time budget", echo + [("Pomelohead-Response-Seal", "late")], b"late"
        finally:
            boot.at_work -= 1
            if boot.waiting:
                boot.waiting.pop(0).set_result(None)
        text = f"{self.identity} {attempt} {hashlib.sha256(body).hexdigest()[:12]}\n".encode() * 20
        seal = hashlib.sha256(text).hexdigest()[:16]
        return "200 OK", echo + [("Pomelohead-Response-Seal", seal)], text

    async def run(self, attempt, method, target, fields, body):
        self.mesh.record(f"backend {self.identity} runs {attempt}")
        await asyncio.sleep(self.work_s)


class Node:
    def __init__(self, mesh, number):
        self.mesh = mesh
        self.number = number
        self.name = f"sidecar-{mesh.zone(number)}-{number + 1}"
        self.settings = mesh.directory / f"{self.name}.conf"
        self.log = mesh.directory / f"{self.name}.log"
        self.service = "rota"
        self.link = Link(mesh)
        self.process = None

    def write_settings(self):
        mesh, address = self.mesh, self.mesh.host(self.number)
        lines = {
            "node": self.name, "role": "node", "machineClass": "sidecar",
            "serves": "sidecar,control", "ip": address, "zone": mesh.zone(self.number),
            "region": "gwynedd",
            "listen.inbound": f"{address}:{mesh.ports['inbound']}",
            "listen.outbound": f"{address}:{mesh.ports['outbound']}",
            "listen.ready": f"{address}:{mesh.ports['ready']}",
            "listen.control": f"{address}:{mesh.ports['control']}",
            "internalPorts": f"{mesh.ports['internal']},{mesh.ports['internal'] + 15}",
            "seeds": ",".join(f"{mesh.host(n)}:{mesh.ports['control']}"
                              for n in range(min(3, mesh.size))),
            "bootstrap": "true" if self.process is None else "false", "faultCounted": "false", "limits.cpuShare": "0.2",
            "limits.cores": "1", "limits.memoryMb": "260", "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0", "limits.diskMb": "0", "discovery": "platform",
            "entry": "static", "heartbeatMs": "1500",
            "contracts": "base,drain,config,cost,retry,recover,platform",
            "faultTolerance.machines": "1", "faultTolerance.zones": "1",
            "faultTolerance.regions": "0", "bounds.seedLagS": "3", "bounds.reuseAfterS": "2",
            "bounds.stabilityMs": "3000", "bounds.ackMs": "4000", "bounds.catchUpS": "4",
            "bounds.drainMs": "2000", "bounds.graceS": "6", "bounds.lossSlackMs": "200",
            "bounds.configMs": "2000", "bounds.rollbackSlackMs": "250",
            "bounds.maxStretchMs": "5000", "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10", "bounds.budgetSlack": "58", "bounds.recoveryS": "15",
            "appAddr": f"{address}:{mesh.app_port}", "service": self.service,
            "platform.addr": self.link.address, "platform.form": "read",
            "platform.writesPerS": "400", "platform.readsPerS": "2000",
            "platform.historyS": "20", "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000"}
        for zone in ZONES:
            lines[f"zones.{zone}"] = "gwynedd"
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))

    def start(self):
        self.write_settings()
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]["run"]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["POMELOHEAD_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(command.split(" "), cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=out, stderr=out)
        self.mesh.record(f"node {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.mesh.record(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            answer = await self.mesh.exchange(self.mesh.host(self.number), self.mesh.ports["ready"],
                                              message("GET /pomelohead/ready HTTP/1.1",
                                                      [("Host", "ready")]), 1.0)
            return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def kill(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Answer:
    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


class Mesh:
    HOST = "wuny96.example"
    PREFIX = "/lohu930/"
    UNSAFE_PREFIX = "/pufi791/"

    def __init__(self, directory, nodes, record, zones=ZONES):
        self.zones = zones
        self.directory = pathlib.Path(directory)
        self.size = nodes
        self.record = Record(record)
        self.net = free_net()
        self.app_port = 8145
        self.ports = {"inbound": 8146, "outbound": 8147, "ready": 8141, "control": 8148,
                      "internal": 7380}
        self.store = Store(self.record)
        self.nodes = [Node(self, number) for number in range(nodes)]
        self.backends = []
        self._attempts = 0
        self._version = 11

    async def __aenter__(self):
        await self.store.start(f"{self.net}.200")
        for node in self.nodes:
            await node.link.start(f"{self.net}.201")
        return self

    async def __aexit__(self, *failure):
        for node in self.nodes:
            node.kill()
        for backend in self.backends:
            if backend.is_up:
                backend.end()
        for node in self.nodes:
            node.link.close()
        self.store.close()
        await asyncio.sleep(0.1)

    def host(self, number):
        return f"{self.net}.{number + 1}"

    def zone(self, number):
        return self.zones[number % len(self.zones)]

    async def add_backend(self, number, identity, service="rota", work_s=0.076, kind=Backend,
                          clock_offset_s=0.0):
        backend = kind(self, number, identity, service, work_s)
        backend.clock_offset_s = clock_offset_s
        self.backends.append(backend)
        await backend.start()
        return backend

    async def publish_configuration(self, kind="safe", timeout_ms=1000, idle_ms=10000):
        self._version += 1
        routes = {"r-1": (self.PREFIX, kind), "r-2": (self.UNSAFE_PREFIX, "unsafe")}
        resources = [
            {"entryKind": "services", "metadata": {"name": "rota"},
             "spec": {"healthPath": "/health", "maxConnections": 110, "protocol": "h1",
                      "tls": False}},
            {"entryKind": "limits", "metadata": {},
             "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                      "idleTimeoutMs": idle_ms}}]
        for name, (prefix, route_kind) in routes.items():
            resources.append(
                {"entryKind": "routes", "metadata": {"name": name},
                 "spec": {"host": self.HOST, "prefix": prefix, "service": "rota",
                          "kind": route_kind, "timeoutMs": timeout_ms, "maxAttempts": 2,
                          "targetLatencyMs": 400, "priority": 1}})
        await self.store.put("op/config", {"version": f"{self._version:08x}",
                                           "resources": resources})
        self.record(f"configuration {self._version:08x} acknowledged")

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        await self.wait_ready(self.nodes)

    async def wait_ready(self, nodes):
        end = time.monotonic() + START_LIMIT_S
        for node in nodes:
            while not await node.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{node.name} is not ready")
                await asyncio.sleep(0.05)
            self.record(f"node {node.name} is ready")

    def next_attempt(self):
        self._attempts += 1
        return f"{self._attempts:016x}"

    async def exchange(self, address, port, data, limit_s):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), limit_s)
        try:
            writer.write(data)
            first, fields, body = await asyncio.wait_for(read_message(reader), limit_s)
            return Answer(int(first.split(" ")[1]), fields, body)
        finally:
            writer.transport.abort()

    def request_bytes(self, attempt, method, path, deadline_ms, body=b"", prefix=PREFIX):
        return message(f"{method} {prefix}{path} HTTP/1.1",
                       [("Host", self.HOST), ("Pomelohead-Attempt-Id", attempt),
                        ("Pomelohead-Deadline-Ms", deadline_ms)], body)

    async def request(self, node, method, path, deadline_ms=1000, body=b"", prefix=PREFIX):
        """One attempt on a new connection; None if the connection ends without a whole answer."""
        attempt = self.next_attempt()
        self.record(f"client sends {attempt} {method} {prefix}{path} to {node.name}")
        try:
            answer = await self.exchange(
                self.host(node.number), self.ports["outbound"],
                self.request_bytes(attempt, method, path, deadline_ms, body, prefix),
                deadline_ms / 1000 + 1)
            wait = answer.fields.get("retry-after")
            self.record(f"client gets {attempt} {answer.status}"
                        + (f", retry after {wait} s" if wait else ""))
            return attempt, answer
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f"client gets {attempt} no answer: {type(error).__name__}")
            return attempt, None

"""A small deployment on loopback: the platform's store, back ends, clients and real nodes.

The nodes are the project's own program, started with the command of the deploy file. The store,
the back ends and the clients are stand-ins in this process, on one event loop:

    async def play(mesh):
        await mesh.start()
        answer = await mesh.call(mesh.hosts[0], "GET", "/view/1", work_ms=50)
        mesh.kill(mesh.hosts[1])
        ...

    sys.exit(mesh.main(play, ...))

Every attempt of a client and every run of a back end is kept, so that the rules can be checked
from what clients and back ends saw.
"""
import asyncio
import base64
import hashlib
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ATTEMPT = "pomelohead-attempt-id"
SEAL = "pomelohead-response-seal"
INSTANCE = "pomelohead-target-instance"
CALLER = "pomelohead-caller-service"
DEADLINE = "pomelohead-deadline-ms"
NOT_EXECUTED = "Pomelohead-Not-Executed"
HEARTBEAT_S = 1.5
QUEUE = 36
MAX_CONNECTIONS = 110
PROMISES = (408, 421, 429, 503)


def seal_of(body):
    return hashlib.sha256(body).hexdigest()[:24]


def free_net():
    """An unused 127.x.y.0 block, so that runs beside each other do not meet."""
    while True:
        net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{net}.250", 8142))
                return net
            except OSError:
                continue


def reset(writer):
    """Closes a connection with a reset, whatever has been sent on it."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Closed(Exception):
    """The peer has closed or reset the connection."""


async def read_head(reader):
    """Returns the start line and the header fields, with names in lower case."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, is_response=False):
    """Returns the whole body; raises Closed if the connection ends before it does."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"]))
        return await reader.read(-1) if is_response else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed(str(error)) from error


class Store:
    """The platform's metadata store: one revision counter, lists in pages, watches."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.history = []
        self.revision = 400
        self.compacted = 0
        self.mode = "up"  # up, busy (503), silent
        self.changed = asyncio.Condition()
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            item = {"key": key, "value": base64.b64encode(data).decode(), "rev": self.revision,
                    "createdRev": self.items.get(key, {}).get("createdRev", self.revision),
                    "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.history.append({"key": key, "rev": self.revision, "tombstone": True})
                self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                url = urllib.parse.urlparse(line.split(" ")[1])
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                status, body = (503, {}) if self.mode == "busy" else await self.answer(url.path,
                                                                                       query)
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        prefix = query.get("prefix", "")
        if path.endswith("kv-key"):
            item = self.items.get(query.get("key"))
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path.endswith("kv-range"):
            keys = sorted(k for k in self.items if k.startswith(prefix)
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                         "storeRevision": self.revision}
        after = int(query.get("after", "0"))
        if after < self.compacted:
            return 410, {}
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [e for e in self.history if e["rev"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0 or self.mode != "up":
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Backend:
    """A back end as the pages describe it. Hooks of a case change single answers."""

    def __init__(self, mesh, host, service, slots=9):
        self.mesh, self.host, self.service, self.slots = mesh, host, service, slots
        self.address = (host.ip, mesh.port + 5)
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.sequence = 0
        self.state = "ready"
        self.registered = True
        self.headers = ""      # added to each answer
        self.hook = None       # async (request, reader, writer) -> True if it has answered
        self.connections = set()
        self.server = None
        self.beat = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 17,
                                                 reuse_address=True)
        self.beat = asyncio.create_task(self.heartbeat())

    async def heartbeat(self):
        while self.registered:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def register(self):
        self.sequence += 1
        await self.mesh.store.put(f"servers/{self.id}", {
            "addr": "%s:%d" % self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.host.zone,
                     "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldLeftMs": 0}})

    def end(self, abrupt=True):
        """Ends the process: its listener and all its connections go at once."""
        if self.beat:
            self.beat.cancel()
        self.server.close()
        for writer in list(self.connections):
            if abrupt:
                reset(writer)
            else:
                writer.close()

    async def serve(self, reader, writer):
        if len(self.connections) >= MAX_CONNECTIONS:
            return reset(writer)
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                request = {"method": line.split(" ")[0], "target": line.split(" ")[1],
                           "fields": fields, "id": fields.get(ATTEMPT)}
                if self.hook and await self.hook(self, request, reader, writer):
                    continue
                request["body"] = await read_body(reader, fields)
                await self.respond(request, reader, writer)
        except (Closed, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, request, reader, writer):
        fields = request["fields"]
        is_health = request["target"].startswith("/health")
        if not request["id"] and not is_health:
            return await self.send(writer, 400, b"", f"{NOT_EXECUTED}: 1\r\n")
        echo = f"Pomelohead-Attempt-Id: {request['id']}\r\n" if request["id"] else ""
        if fields.get(INSTANCE, self.id) != self.id:
            return await self.send(writer, 421, b"",
                                   echo + f"Pomelohead-Instance-Id: {self.id}\r\n")
        if self.running >= self.slots and self.waiting >= QUEUE:
            return await self.send(writer, 503, b"", echo + f"{NOT_EXECUTED}: 1\r\n")
        deadline = time.monotonic() + int(fields.get(DEADLINE, "60000")) / 1000
        async with self.free:
            self.waiting += 1
            try:
                await asyncio.wait_for(
                    self.free.wait_for(lambda: self.running < self.slots),
                    max(0.001, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                return await self.send(writer, 503, b"", echo + f"{NOT_EXECUTED}: 1\r\n")
            finally:
                self.waiting -= 1
            self.running += 1
        try:
            if is_health:
                await self.send(writer, 200 if self.state == "ready" else 503, b"",
                                f"Pomelohead-Instance-Id: {self.id}\r\n")
            else:
                await self.run(request, echo, deadline, writer)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()

    async def run(self, request, echo, deadline, writer):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlparse(request["target"]).query))
        run = self.mesh.note_run(self, request)
        end = time.monotonic() + float(query.get("ms", "20")) / 1000 * self.mesh.slowness
        while time.monotonic() < end:
            if time.monotonic() >= deadline:
                run["stopped"] = True
                body = self.body_of(request["id"], 20)
                return await self.send(writer, 504, body, echo
                                       + f"Pomelohead-Response-Seal: {seal_of(body)}\r\n")
            await asyncio.sleep(min(0.05, max(0.0, min(end, deadline) - time.monotonic())))
            if writer.transport.is_closing():
                run["dropped"] = True
                raise Closed("dropped")
        body = self.body_of(request["id"], int(query.get("bytes", "500")))
        run["ended"] = self.mesh.now()
        await self.send(writer, 200, body, echo + f"Pomelohead-Response-Seal: {seal_of(body)}\r\n",
                        chunked="chunked" in query)

    @staticmethod
    def body_of(request_id, size):
        unit = (request_id + "/").encode()
        return (unit * (size // len(unit) + 1))[:size]

    async def send(self, writer, status, body, headers="", chunked=False):
        head = f"HTTP/1.1 {status} X\r\n{headers}{self.headers}"
        if chunked:
            writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
            for at in range(0, len(body), 8000):
                piece = body[at:at + 8000]
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        else:
            writer.write((head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await writer.drain()


class Host:
    def __init__(self, name, ip, zone, service):
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        self.process = None
        self.backend = None
        self.settings = {}


class Mesh:
    def __init__(self, record, hosts=(("a", "rota"), ("b", "rota"), ("c", "rota"),
                                      ("a", "cofrestr")), bounds=None, memory_mb=260):
        self.net = free_net()
        self.port = 8140
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mesh-"))
        self.record_path = record
        self.lines = []
        self.started = time.monotonic()
        self.store = None
        self.hosts = [Host(f"sidecar-{zone}-{n}", f"{self.net}.{n + 1}", zone, service)
                      for n, (zone, service) in enumerate(hosts)]
        self.bounds = {"seedLagS": 3, "reuseAfterS": 2, "stabilityMs": 3000, "ackMs": 4000,
                       "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
                       "configMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
                       "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
                       "recoveryS": 15, **(bounds or {})}
        self.memory_mb = memory_mb
        self.slowness = 1.0  # of all back ends: how many times as long they work
        self.attempts = {}   # by id: what the client sent and got
        self.runs = []       # what back ends ran
        self.version = 0
        self.routes = {
            "view": {"kind": "safe", "service": "rota", "timeoutMs": 5000},
            "swap": {"kind": "unsafe", "service": "rota", "timeoutMs": 5000},
            "record": {"kind": "safe", "service": "cofrestr", "timeoutMs": 5000},
            "photo": {"kind": "upload", "service": "cofrestr", "timeoutMs": 5000}}
        self.limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}
        with open(ROOT / "deploy" / "system.toml", "rb") as deploy:
            self.command = next(iter(tomllib.load(deploy)["roles"].values()))["run"].split()

    # Record

    def now(self):
        return round(time.monotonic() - self.started, 4)

    def note(self, event, **fields):
        self.lines.append(f"{self.now():9.4f} {event} "
                          + " ".join(f"{k}={v}" for k, v in fields.items()))

    def note_run(self, backend, request):
        run = {"id": request["id"], "at": self.now(), "backend": backend.id,
               "service": backend.service, "host": backend.host, "method": request["method"],
               "target": request["target"], "caller": request["fields"].get(CALLER),
               "body": hashlib.sha256(request["body"]).hexdigest()}
        self.runs.append(run)
        self.note("run", id=run["id"], backend=backend.host.name, target=run["target"],
                  body_bytes=len(request["body"]))
        return run

    # Configuration

    def configuration(self):
        self.version += 1
        resources = [{"entryKind": "limits", "metadata": {}, "spec": self.limits}]
        for name, route in self.routes.items():
            resources.append({"entryKind": "routes", "metadata": {"name": name}, "spec": {
                "host": "tower.example", "prefix": f"/{name}/", "targetLatencyMs": 400,
                "priority": 1, "maxAttempts": 2, **route}})
        for service in sorted({h.service for h in self.hosts}):
            resources.append({"entryKind": "services", "metadata": {"name": service}, "spec": {
                "healthPath": "/health", "maxConnections": MAX_CONNECTIONS, "protocol": "h1", "tls": False}})
        return {"version": f"{self.version:08x}", "resources": resources}

    async def publish(self):
        await self.store.put("op/config", self.configuration())
        self.note("configuration", version=self.version)

    # Processes

    def write_settings(self, host):
        at = self.port
        fields = {"node": host.name, "role": "node", "machineClass": "sidecar", "serves":
                  "sidecar,control", "ip": host.ip, "zone": host.zone, "region": "gwynedd",
                  **{f"zones.{z}": "gwynedd" for z in sorted({h.zone for h in self.hosts})},
                  "listen.inbound": f"{host.ip}:{at + 6}", "listen.outbound": f"{host.ip}:{at + 7}",
                  "listen.ready": f"{host.ip}:{at + 1}", "listen.control": f"{host.ip}:{at + 8}",
                  "internalPorts": "7380,7395",
                  "seeds": ",".join(f"{h.ip}:{at + 8}" for h in self.hosts[:3]),
                  "bootstrap": "true", "faultCounted": "false", "limits.cpuShare": "0.2",
                  "limits.cores": "1", "limits.memoryMb": self.memory_mb, "limits.maxFds": "4100",
                  "limits.linkMbps": "1000.0", "limits.diskMb": "0", "discovery": "platform",
                  "entry": "static", "heartbeatMs": "1500",
                  "contracts": "base,drain,config,cost,retry,recover,platform",
                  "faultTolerance.machines": 1, "faultTolerance.zones": 1,
                  "faultTolerance.regions": 0,
                  **{f"bounds.{k}": v for k, v in self.bounds.items()},
                  "appAddr": f"{host.ip}:{at + 5}", "service": host.service,
                  "platform.addr": "%s:%d" % self.store.address, "platform.form": "read",
                  "platform.writesPerS": 400, "platform.readsPerS": 2000, "platform.historyS": 20,
                  "platform.valueBytes": 1048576, "platform.ttlMinMs": 1000, **host.settings}
        path = self.folder / f"{host.name}.conf"
        fresh = path.with_suffix(".new")
        fresh.write_text("".join(f"{k}={v}\n" for k, v in fields.items()), encoding="utf-8")
        fresh.rename(path)
        return path

    def start_node(self, host):
        path = self.write_settings(host)
        with open(self.folder / f"{host.name}.log", "ab") as log:
            host.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                     "POMELOHEAD_CONFIG": str(path)})
        self.note("start", node=host.name, pid=host.process.pid)

    def signal(self, host, number):
        self.note("signal", node=host.name, number=signal.Signals(number).name)
        host.process.send_signal(number)

    def kill(self, host):
        self.signal(host, signal.SIGKILL)
        host.process.wait()

    async def term(self, host):
        """SIGTERM, and SIGKILL after graceS. Returns the exit code."""
        self.signal(host, signal.SIGTERM)
        end = time.monotonic() + self.bounds["graceS"]
        while host.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        if host.process.poll() is None:
            self.kill(host)
        self.note("exit", node=host.name, code=host.process.returncode)
        return host.process.returncode

    async def is_ready(self, host):
        try:
            answer = await asyncio.wait_for(self.exchange((host.ip, self.port + 1), (
                f"GET /pomelohead/ready HTTP/1.1\r\nHost: {host.ip}\r\n"
                "Connection: close\r\n\r\n").encode()), 1)
            return answer["status"] == 200
        except (asyncio.TimeoutError, OSError, Closed):
            return False

    async def wait_ready(self, hosts=None, limit_s=15):
        end = time.monotonic() + limit_s
        for host in hosts or self.hosts:
            while not await self.is_ready(host):
                if time.monotonic() > end:
                    raise RuntimeError(f"{host.name} is not ready")
                await asyncio.sleep(0.05)

    async def start(self):
        self.store = Store((f"{self.net}.250", 8142))
        await self.store.start()
        await self.publish()
        for host in self.hosts:
            host.backend = Backend(self, host, host.service)
            await host.backend.start()
        for host in self.hosts:
            self.start_node(host)
        await self.wait_ready()
        await asyncio.sleep(1.0)

    def end(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        self.record_path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients

    async def exchange(self, address, request, is_head=False, slow_s=0):
        reader, writer = await asyncio.open_connection(*address, limit=1 << 17)
        try:
            writer.write(request)
            await writer.drain()
            return await self.read_answer(reader, is_head)
        except (ConnectionError, Closed) as error:
            raise Closed(str(error)) from error
        finally:
            writer.close()

    @staticmethod
    async def read_answer(reader, is_head=False):
        while True:
            line, fields = await read_head(reader)
            status = int(line.split(" ")[1])
            if status >= 200:
                break
        answer = {"status": status, "fields": fields, "body": b"", "whole": True}
        if is_head or status in (204, 304):
            return answer
        try:
            answer["body"] = await read_body(reader, fields, True)
        except Closed:
            answer["whole"] = False
        return answer

    def request(self, host, method, target, body=b"", deadline_ms=1000, headers="", kind=None):
        """Makes an attempt: its id and its bytes."""
        name = target.split("/")[1]
        attempt = {"id": f"{random.randrange(16 ** 16):016x}", "host": host, "method": method,
                   "target": target, "body": hashlib.sha256(body).hexdigest(),
                   "kind": kind or self.routes.get(name, {}).get("kind", "none"),
                   "sent": self.now(), "status": None}
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        head = (f"{method} {target} HTTP/1.1\r\nHost: tower.example\r\nPomelohead-Attempt-Id: "
                f"{attempt['id']}\r\nPomelohead-Deadline-Ms: {deadline_ms}\r\n{length}{headers}"
                "\r\n")
        self.attempts[attempt["id"]] = attempt
        self.note("send", id=attempt["id"], node=host.name, what=f"{method} {target}",
                  bytes=len(body))
        return attempt, head.encode() + body

    def note_answer(self, attempt, answer):
        attempt.update(status=answer["status"], ended=self.now(), whole=answer["whole"],
                       seal=answer["fields"].get(SEAL), answer_id=answer["fields"].get(ATTEMPT),
                       answer_sha=seal_of(answer["body"]), answer_bytes=len(answer["body"]),
                       retry_after=float(answer["fields"].get("retry-after", "0")))
        self.note("answer", id=attempt["id"], status=answer["status"], whole=answer["whole"],
                  bytes=len(answer["body"]), took=round(attempt["ended"] - attempt["sent"], 3))
        return attempt

    async def call(self, host, method, target, body=b"", deadline_ms=1000, headers=""):
        """One attempt on a connection of its own. The client waits as long as it says."""
        attempt, data = self.request(host, method, target, body, deadline_ms, headers)
        try:
            answer = await asyncio.wait_for(
                self.exchange((host.ip, self.port + 7), data, method == "HEAD"),
                deadline_ms / 1000 + 0.1)
            self.note_answer(attempt, answer)
        except (Closed, OSError, asyncio.TimeoutError) as error:
            attempt.update(ended=self.now(), error=type(error).__name__)
            self.note("no-answer", id=attempt["id"], why=repr(error)[:80])
        return attempt

    # Rules

    def broken(self):
        """What breaks MIXED, UNASKED, TWICE and REFUSED, as the rules are written."""
        found = []
        by_id = {}
        for run in self.runs:
            by_id.setdefault(run["id"], []).append(run)
            sent = self.attempts.get(run["id"])
            if sent is None:
                found.append(f"UNASKED: {run['id']} was sent by no client")
            elif (sent["method"], sent["target"], sent["body"]) != (run["method"], run["target"],
                                                                    run["body"]):
                found.append(f"UNASKED: {run['id']} was changed on its way")
            elif run["caller"] != sent["host"].service:
                found.append(f"UNASKED: {run['id']} names the caller {run['caller']}")
        for key, sent in self.attempts.items():
            count = len(by_id.get(key, []))
            if sent["kind"] != "safe" and count > 1:
                found.append(f"TWICE: {key} ran {count} times")
            if sent["kind"] != "safe" and sent["status"] in PROMISES and count:
                found.append(f"REFUSED: {key} was answered {sent['status']} and has run")
            if sent["status"] and 200 <= sent["status"] < 300 and sent["method"] != "HEAD" and \
                    sent["whole"]:
                if not sent["seal"] or sent["seal"] != sent["answer_sha"]:
                    found.append(f"MIXED: {key} got a success that is not a back end's whole body")
                if sent["answer_id"] not in (None, key):
                    found.append(f"MIXED: {key} got the answer to {sent['answer_id']}")
                if not count:
                    found.append(f"MIXED: {key} got a success and no back end has run it")
        return found


def main(play, folder, **options):
    """Runs a case; returns its exit code: 0 the rule held, 1 it was broken, 2 it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    mesh = Mesh(pathlib.Path(folder) / "record.txt", **options)

    async def run():
        try:
            return await play(mesh, trouble)
        finally:
            mesh.end()

    logging.disable(logging.CRITICAL)  # of tasks that end with the event loop
    try:
        found = asyncio.run(asyncio.wait_for(run(), 115))
    except Exception as error:  # pylint: disable=broad-except
        print(f"could not run: {error!r}")
        return 2
    for line in found[:20]:
        print(line)
    print(f"{len(found)} violations, {len(mesh.attempts)} attempts, {len(mesh.runs)} runs")
    return 1 if found else 0

"""The parts of testing/process_play.py: nodes as real processes, targets.

    fleet = Fleet(net=63, nodes=4, program=PROGRAM, root=ROOT, directory=logs)
    fleet.start()                              # a store, targets and nodes
    fleet.nodes[0].stop()                      # SIGTERM, SIGKILL after the grace

Targets and callers (play_callers.py) record what they saw; play_verdict.py compares them.
"""
import asyncio
import dataclasses
import hashlib
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import time
import tomllib

from platform_standin import Store

GRACE_S = 6.0
DRAIN_MS = 2000
CONFIG_MS = 2000
MEMORY_MB = 110
MAX_FDS = 4100
SLOTS = 6
QUEUE = 24
MAX_CONNECTIONS = 120
ZONES = ("qc-east-a", "qc-east-b", "qc-east-c")
TARGET_PORT, READY_PORT, INBOUND_PORT, OUTBOUND_PORT = 8145, 8141, 8146, 8147
CONNECT_LIMIT_S = 1.0
POLL_S = 0.02


@dataclasses.dataclass
class Arrival:
    """A request at a target, with the moments that it reached."""
    target: int
    arrived: float
    body: str = ""
    began: float | None = None
    answered: float | None = None
    broken_off: float | None = None  # its connection ended before the answer


@dataclasses.dataclass
class Sent:
    """A request of a caller and what became of it."""
    identity: str
    node: "Node"
    kind: str  # safe or unsafe
    work_ms: int
    deadline_ms: int
    body: str
    behind: bool  # sent behind another one on its connection
    begun: float = 0.0
    sent: float | None = None  # the last byte was written
    ended: float | None = None
    status: int | None = None  # of a complete answer
    has_seal: bool = False
    answer: bytes = b""
    partial: bool = False  # the answer had begun
    how: str = ""


class Wire(asyncio.Protocol):
    """A connection whose received bytes stay readable after a reset."""

    def __init__(self, on_open=None):
        self.buffer = bytearray()
        self.ended = None
        self.transport = None
        self._on_open = on_open
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport):
        self.transport = transport
        if self._on_open:
            self._on_open(self)

    def data_received(self, data):
        self.buffer += data
        self._changed.set()

    def eof_received(self):
        self.ended = self.ended or "closed"
        self._changed.set()

    def connection_lost(self, exc):
        self.ended = "reset" if exc else self.ended or "closed"
        self._changed.set()
        self._writable.set()

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    async def change(self):
        self._changed.clear()
        await self._changed.wait()

    async def take_until(self, end):
        while (at := self.buffer.find(end)) < 0:
            if self.ended:
                raise ConnectionError(self.ended)
            await self.change()
        taken = bytes(self.buffer[:at + len(end)])
        del self.buffer[:at + len(end)]
        return taken

    async def take(self, size):
        while len(self.buffer) < size:
            if self.ended:
                raise ConnectionError(self.ended)
            await self.change()
        taken = bytes(self.buffer[:size])
        del self.buffer[:size]
        return taken

    async def write(self, data):
        if self.transport.is_closing():
            raise ConnectionError(self.ended or "closed")
        self.transport.write(data)
        await self._writable.wait()

    async def rest(self, seconds):
        """Takes no bytes from the connection for a while."""
        self.transport.pause_reading()
        await asyncio.sleep(seconds)
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def close(self):
        self.transport.abort()


async def take_message(wire):
    """The first line, the fields (names in lower case) and the body of one message."""
    first, *lines = (await wire.take_until(b"\r\n\r\n"))[:-4].decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (l.partition(":") for l in lines)}
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await wire.take_until(b"\r\n")).split(b";")[0], 16):
            body += await wire.take(size)
            await wire.take(2)
        await wire.take_until(b"\r\n")
    else:
        body = await wire.take(int(fields.get("content-length", 0)))
    return first, fields, body


def digest(body):
    return hashlib.sha256(body).hexdigest()[:16]


class Target:
    """A back end: slots, a queue, 503 with Pomelohead-Not-Executed beyond it, kept connections."""

    def __init__(self, number, address, records):
        self.number = number
        self.address = address
        self.instance = f"i-{number}"
        self.records = records  # identity -> [Arrival]
        self.is_leaving = False
        self._at_work = 0
        self._queue = []
        self._wires = set()
        self._server = None
        self._tasks = set()

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Wire(self._opened), self.address,
                                                TARGET_PORT, backlog=256)

    def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def _opened(self, wire):
        if len(self._wires) >= MAX_CONNECTIONS:
            wire.close()
            return
        self._wires.add(wire)
        task = asyncio.get_running_loop().create_task(self._serve(wire))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, wire):
        try:
            while True:
                await self._serve_one(wire)
        except ConnectionError:
            pass
        finally:
            self._wires.discard(wire)
            wire.close()

    async def _answer(self, wire, status, fields, body=b""):
        head = [f"HTTP/1.1 {status} Reason", f"Content-Length: {len(body)}", *fields]
        if self.is_leaving:
            head.append("Connection: close")
        await wire.write("\r\n".join([*head, "", ""]).encode() + body)
        if self.is_leaving:
            raise ConnectionError("leaving")

    async def _serve_one(self, wire):
        first, fields, body = await take_message(wire)
        path = first.split(" ")[1]
        identity = fields.get("pomelohead-attempt-id", "")
        echo = f"Pomelohead-Attempt-Id: {identity}"
        arrival = Arrival(self.number, time.monotonic(), digest(body))
        is_probe = path == "/health"
        if not is_probe:
            self.records.setdefault(identity, []).append(arrival)
        if fields.get("pomelohead-target-instance", self.instance) != self.instance:
            await self._answer(wire, 421, ["Pomelohead-Not-Executed: 1", echo])
            return
        left_s = int(fields.get("pomelohead-deadline-ms", 5000)) / 1000
        if not await self._take_slot(wire, arrival.arrived + left_s):
            await self._answer(wire, 503, ["Pomelohead-Not-Executed: 1", echo])
            return
        try:
            if is_probe:
                status = 503 if self.is_leaving else 200
                await self._answer(wire, status, [f"Pomelohead-Instance-Id: {self.instance}"])
                return
            arrival.began = time.monotonic()
            done = arrival.began + int(fields.get("x-work-ms", 50)) / 1000
            while (left := done - time.monotonic()) > 0 and not wire.ended:
                await asyncio.sleep(min(left, POLL_S))
            if wire.ended:
                arrival.broken_off = time.monotonic()
                raise ConnectionError(wire.ended)
            reply = f"{self.instance} {identity} {digest(body)} ".encode()
            reply += b"." * int(fields.get("x-answer-bytes", 0))
            await self._answer(wire, 200, [echo, f"Pomelohead-Response-Seal: {digest(reply)}"],
                               reply)
            arrival.answered = time.monotonic()
        finally:
            self._free_slot()

    async def _take_slot(self, wire, end):
        if self._at_work < SLOTS:
            self._at_work += 1
            return True
        if len(self._queue) >= QUEUE:
            return False
        granted = asyncio.get_running_loop().create_future()
        self._queue.append(granted)
        while not granted.done():
            await asyncio.wait([granted], timeout=POLL_S)
            if not granted.done() and (wire.ended or time.monotonic() > end):
                self._queue.remove(granted)
                if wire.ended:
                    raise ConnectionError(wire.ended)
                return False
        return True

    def _free_slot(self):
        if self._queue:
            self._queue.pop(0).set_result(None)
        else:
            self._at_work -= 1


@dataclasses.dataclass
class Boot:
    """One process of a node, from its start to its exit."""
    process: subprocess.Popen
    started: float
    log: pathlib.Path
    terminated: float | None = None  # the first SIGTERM
    killed: float | None = None
    exited: float | None = None
    peak_kb: int = 0

    def poll(self):
        if self.exited is not None:
            return
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
            peak = [l for l in status.splitlines() if l.startswith("VmHWM")]
            self.peak_kb = max(self.peak_kb, int(peak[0].split()[1]) if peak else 0)
        except OSError:
            pass
        if self.process.poll() is not None:
            self.exited = time.monotonic()

    def signal(self, number):
        if self.exited is not None or self.process.poll() is not None:
            return
        if number == signal.SIGTERM and self.terminated is None:
            self.terminated = time.monotonic()
        if number == signal.SIGKILL and self.killed is None:
            self.killed = time.monotonic()
        self.process.send_signal(number)


class Node:
    """A machine: its address, settings file, target and the processes of its node."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.name = f"n-{number}"
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.address = f"127.{fleet.net}.0.{number}"
        self.settings = fleet.directory / f"{self.name}.conf"
        self.target = Target(number, self.address, fleet.records)
        self.boots = []

    def write_settings(self, service="caller"):
        ip = self.address
        self.settings.write_text("\n".join([
            f"node={self.name}", "role=node", "machineClass=sidecar", "serves=sidecar,control",
            f"ip={ip}", f"zone={self.zone}", "region=qc-east",
            *(f"zones.{zone}=qc-east" for zone in ZONES), f"listen.inbound={ip}:{INBOUND_PORT}",
            f"listen.outbound={ip}:{OUTBOUND_PORT}", f"listen.ready={ip}:{READY_PORT}",
            "internalPorts=7380,7395",
            f"seeds={','.join(f'127.{self.fleet.net}.0.{n}:7380' for n in (1, 2, 3))}",
            "bootstrap=true", f"limits.memoryMb={MEMORY_MB}", f"limits.maxFds={MAX_FDS}",
            "limits.cpuShare=0.2", "limits.cores=1", "limits.linkMbps=1000.0", "limits.diskMb=0",
            "discovery=platform", "entry=static", "heartbeatMs=1500", "bounds.seedLagS=3",
            "bounds.reuseAfterS=2", "bounds.stabilityMs=3000", "bounds.ackMs=4000",
            "bounds.catchUpS=4", f"bounds.drainMs={DRAIN_MS}", f"bounds.graceS={GRACE_S:g}",
            "bounds.lossSlackMs=200", f"bounds.configMs={CONFIG_MS}",
            "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
            "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=60",
            "bounds.recoveryS=15", f"appAddr={ip}:{TARGET_PORT}", f"service={service}",
            f"platform.addr={self.fleet.store_address[0]}:{self.fleet.store_address[1]}",
            "platform.form=read", "platform.writesPerS=400", "platform.readsPerS=2000",
            "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
            ""]), "utf-8")

    def start(self):
        log = self.fleet.directory / f"{self.name}.{len(self.boots)}.log"
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        with open(log, "ab") as out:
            process = subprocess.Popen(
                self.fleet.command, stdout=out, stderr=out, stdin=subprocess.DEVNULL,
                cwd=self.fleet.root, env={**environment, "POMELOHEAD_CONFIG": str(self.settings)})
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        self.boots.append(Boot(process, time.monotonic(), log))

    @property
    def boot(self):
        return self.boots[-1]

    def boot_at(self, moment):
        """The process that held the ports at `moment`."""
        begun = [b for b in self.boots if b.started <= moment]
        return next((b for b in begun if b.exited is None or b.exited >= moment),
                    begun[-1] if begun else None)

    async def stop(self, signals=(0.0,)):
        """A planned stop: SIGTERM at each of `signals` (seconds), SIGKILL after the grace."""
        boot = self.boot
        begun = time.monotonic()
        pending = list(signals)
        while boot.exited is None:
            boot.poll()
            now = time.monotonic()
            while pending and now >= begun + pending[0]:
                boot.signal(signal.SIGTERM)
                pending.pop(0)
            if boot.terminated and now > boot.terminated + GRACE_S:
                boot.signal(signal.SIGKILL)
            await asyncio.sleep(POLL_S)

    async def is_ready(self):
        try:
            wire = await connect(self.address, READY_PORT)
        except OSError:
            return False
        try:
            await wire.write(b"GET /pomelohead/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _, _ = await asyncio.wait_for(take_message(wire), CONNECT_LIMIT_S)
            return first.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            wire.close()


async def connect(address, port):
    loop = asyncio.get_running_loop()
    _, wire = await asyncio.wait_for(loop.create_connection(Wire, address, port), CONNECT_LIMIT_S)
    wire.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return wire


class Fleet:
    """The store, and the machines with their targets and nodes."""

    def __init__(self, net, nodes, program, root, directory):
        self.net = net
        self.root = pathlib.Path(root)
        self.directory = pathlib.Path(directory)
        self.records = {}
        self.requests = []
        self.evacuations = []  # [zone, requested, withdrawn or None]
        self.odd_identities = set()  # of peers that don't wait for an answer
        self.version = 4
        self.max_lag_s = 0.0
        run = tomllib.loads((self.root / "deploy/system.toml").read_text("utf-8"))
        words = run["roles"]["node"]["run"].split(" ")
        self.command = [str(program), *words[1:]]
        self.store_address = (f"127.{net}.0.200", 8142)
        self.store = Store(self.store_address, page=500)
        self.nodes = [Node(self, number + 1) for number in range(nodes)]

    def put_configuration(self, extra_routes=0):
        def route(name, prefix, kind, limit_ms=5000):
            return {"entryKind": "routes", "metadata": {"name": name},
                    "spec": {"host": "mesh.example", "prefix": prefix, "kind": kind,
                             "timeoutMs": limit_ms, "targetLatencyMs": 300, "priority": 1,
                             "service": "svc", "maxAttempts": 2}}
        resources = [route("safe", "/safe/", "safe"), route("unsafe", "/unsafe/", "unsafe"),
                     route("long", "/long/", "unsafe", 10_000),
                     *(route(f"x{n}", f"/x{n}/", "safe") for n in range(extra_routes)),
                     {"entryKind": "services", "metadata": {"name": "svc"},
                      "spec": {"healthPath": "/health", "maxConnections": MAX_CONNECTIONS}},
                     {"entryKind": "limits", "metadata": {},
                      "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 8388608,
                               "headerTimeoutMs": 2000, "idleTimeoutMs": 15000}}]
        self.store.put("op/config", json.dumps({"version": f"{self.version:08x}",
                                                "baseVersion": "00000000",
                                                "resources": resources}))
        self.version += 1

    def zones(self):
        return sorted({node.zone for node in self.nodes})

    def evacuate(self, zone):
        self.store.put(f"op/evacuate/{zone}", "{}")
        self.evacuations.append([zone, time.monotonic(), None])

    def withdraw_evacuation(self, zone):
        self.evacuations[-1][2] = time.monotonic()
        self.store.remove(f"op/evacuate/{zone}")

    def register(self, node, sequence, state="ready"):
        self.store.put(f"servers/{node.target.instance}", json.dumps(
            {"addr": f"{node.address}:{TARGET_PORT}", "born": 1000 + node.number,
             "info": {"service": "svc", "version": "v1", "zone": node.zone, "slots": SLOTS},
             "status": {"state": state, "sequence": sequence, "coldLeftMs": 0}}))

    async def start(self, limit_s=30):
        self.put_configuration()
        for node in self.nodes:
            await node.target.start()
            self.register(node, 1)
            node.write_settings()
            node.start()
        end = time.monotonic() + limit_s
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end:
                raise TimeoutError("the nodes did not become ready")
            await asyncio.sleep(0.05)

    async def watch(self):
        """Notes exits and peaks, and how late this program's own loop is."""
        while True:
            begun = time.monotonic()
            await asyncio.sleep(POLL_S)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - begun - POLL_S)
            for node in self.nodes:
                for boot in node.boots:
                    boot.poll()

    def close(self):
        for node in self.nodes:
            for boot in node.boots:
                if boot.process.poll() is None:
                    boot.process.kill()
                boot.process.wait()
            node.target.close()
        self.store.close()

"""Stand-ins for the cases of this review: the platform's store, and nodes of the deploy file.

    mesh = Mesh()
    mesh.add_service("svc")
    mesh.add_route("r", "/up/", "upload", "svc", timeout_ms=4000)
    mesh.start_store()
    node = mesh.start_node(1, service="svc")
    mesh.register("i-1", node, "svc")

All addresses are loopback addresses. close() ends every process that was started.
"""
import base64
import http.client
import json
import os
import pathlib
import random
import shlex
import shutil
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HOST = "mesh.example"
ZONE = "zone-a"
READY_LIMIT_S = 20
STABILITY_S = 3.0
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def trouble_wanted():
    return os.environ.get("TROUBLE", "1") != "0"


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Nodes that end close their connections; that is no error of the store."""


class Store:
    """The platform's store: one revision counter, paged lists and watches."""

    PAGE = 50
    CUT_AFTER_S = 0.1

    def __init__(self, address):
        self._items = {}
        self._history = []
        self._revision = 100
        self._changed = threading.Condition()
        self._cut_wanted = False
        self._cut_done = threading.Event()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                status, body = store.answer(self.path)
                if status is None:
                    self.close_connection = True  # a waiting watch is cut
                    return
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self._server = _Server(address, Handler)
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, value):
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get("createdRev", self._revision)
            item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                    "rev": self._revision, "createdRev": created, "lease": 0}
            self._items[key] = item
            self._history.append(item)
            self._changed.notify_all()

    def remove(self, key):
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self._revision += 1
            self._history.append({"key": key, "rev": self._revision, "tombstone": True})
            self._changed.notify_all()

    def cut_watch(self):
        """Cuts the next watch of registrations that has waited for CUT_AFTER_S, and returns then.

        Its connection is closed. All other calls are answered.
        """
        self._cut_done.clear()
        self._cut_wanted = True
        if not self._cut_done.wait(READY_LIMIT_S):
            raise CannotRun("no watch has waited")

    def answer(self, path):
        url = urlparse(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/pomelohead/kv-range":
            return 200, json.dumps(self._range(query)).encode()
        if url.path == "/pomelohead/kv-watch":
            found = self._watch(query)
            return (None, b"") if found is None else (200, json.dumps(found).encode())
        if url.path == "/pomelohead/kv-key":
            with self._changed:
                item = self._items.get(query.get("key", ""))
                return (404, b"") if item is None else (200, json.dumps(
                    dict(item, storeRevision=self._revision)).encode())
        return 404, b""

    def _range(self, query):
        with self._changed:
            keys = sorted(k for k in self._items
                          if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            return {"items": [self._items[k] for k in keys[:self.PAGE]],
                    "hasMore": len(keys) > self.PAGE, "storeRevision": self._revision}

    def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000

        def events():
            return [e for e in self._history
                    if e["rev"] > after and e["key"].startswith(query.get("prefix", ""))]

        begin = time.monotonic()
        with self._changed:
            while not events():
                if (self._cut_wanted and query.get("prefix") == "servers/" and
                        time.monotonic() - begin >= self.CUT_AFTER_S):
                    self._cut_wanted = False
                    self._cut_done.set()
                    return None
                left = end - time.monotonic()
                if left <= 0:
                    break
                self._changed.wait(min(left, 0.02))
            return {"events": events(), "storeRevision": self._revision}


class Node:
    """One node, started with the command of the deploy file."""

    def __init__(self, mesh, number, service):
        self.ip = mesh.ip(number)
        self.number = number
        self._mesh = mesh
        self._log = mesh.directory / f"node-{number}.log"
        settings = mesh.directory / f"node-{number}.conf"
        ports = mesh.ports
        settings.write_text("\n".join([
            f"node=sidecar-{number}", "role=node", "machineClass=sidecar", "serves=sidecar,control",
            f"ip={self.ip}", f"zone={ZONE}", "region=region-a", f"zones.{ZONE}=region-a",
            f"listen.inbound={self.ip}:{ports['inbound']}",
            f"listen.outbound={self.ip}:{ports['outbound']}",
            f"listen.ready={self.ip}:{ports['ready']}",
            f"listen.control={self.ip}:{ports['control']}",
            f"internalPorts={ports['internal']},{ports['internal'] + 15}",
            "seeds=", "bootstrap=true", "faultCounted=false", "limits.cpuShare=0.2",
            "limits.cores=1", f"limits.memoryMb={mesh.memory_mb}", "limits.maxFds=4100",
            "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=static",
            "heartbeatMs=1500", "contracts=base,drain,config,cost,retry,recover,platform",
            "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.stabilityMs=3000",
            "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=6",
            "bounds.lossSlackMs=200", "bounds.configMs=2000", "bounds.rollbackSlackMs=250",
            "bounds.maxStretchMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
            "bounds.budgetSlack=58", "bounds.recoveryS=15",
            f"appAddr={self.ip}:{ports['app']}", f"service={service}",
            f"platform.addr={mesh.ip(250)}:{ports['store']}", "platform.form=read",
            "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
            "platform.valueBytes=1048576", "platform.ttlMinMs=1000", ""]), "utf-8")
        self._settings = settings
        self.process = None
        self.start()

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["POMELOHEAD_CONFIG"] = str(self._settings)
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(self._mesh.command, cwd=ROOT, stdout=log, stderr=log,
                                            env=environment)

    def has_ended(self):
        return self.process.poll() is not None

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self._mesh.ports["ready"]), 1) as s:
                s.sendall(b"GET /pomelohead/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def outbound(self):
        return self.ip, self._mesh.ports["outbound"]

    def app(self):
        return self.ip, self._mesh.ports["app"]

    def log_text(self):
        return self._log.read_text("utf-8", "replace")

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Mesh:
    """A store and some nodes on loopback addresses of their own."""

    def __init__(self):
        program = ROOT / "target" / "pomelohead"
        if not program.exists():
            raise CannotRun("target/pomelohead is missing: run the build of the deploy file")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        self.command = shlex.split(deploy["roles"]["node"]["run"])
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = self._free_ports()
        self.nodes = {}
        self.store = None
        self._registered = {}
        self._silent = set()
        self._resources = []
        self._version = 5
        self.memory_mb = 260
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self.limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

    def ip(self, number):
        return f"{self._net}.{number}"

    def _free_ports(self):
        names = ("inbound", "outbound", "ready", "control", "app", "store")
        for _ in range(20):
            base = random.randint(12000, 30000)
            ports = {name: base + i for i, name in enumerate(names)}
            ports["internal"] = base + 10
            try:
                for port in list(ports.values()):
                    with socket.socket() as probe:
                        probe.bind((self.ip(1), port))
            except OSError:
                continue
            return ports
        raise CannotRun("no free ports")

    def add_service(self, name):
        self._resources.append({"entryKind": "services", "metadata": {"name": name},
                                "spec": {"healthPath": "/health", "maxConnections": 120,
                                         "protocol": "h1", "tls": False}})

    def add_route(self, name, prefix, kind, service, timeout_ms, max_attempts=2):
        self._resources.append({"entryKind": "routes", "metadata": {"name": name}, "spec": {
            "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": timeout_ms // 2, "priority": 1, "service": service,
            "maxAttempts": max_attempts}})

    def start_store(self):
        self.store = Store((self.ip(250), self.ports["store"]))
        self.put_configuration()
        threading.Thread(target=self._beat, daemon=True).start()

    def put_configuration(self):
        """The operator writes the next version, in full."""
        before, self._version = self._version, self._version + 2
        self.store.put("op/config", {
            "version": f"{self._version:08x}", "baseVersion": f"{before:08x}",
            "resources": self._resources + [
                {"entryKind": "limits", "metadata": {}, "spec": self.limits}]})

    def register(self, instance, address, service, slots=6):
        """Registers a back end and keeps reporting its status."""
        with self._lock:
            self._registered[instance] = {
                "addr": f"{address[0]}:{address[1]}", "born": int(time.time() * 1000),
                "info": {"service": service, "version": "v1", "zone": ZONE, "slots": slots},
                "status": {"state": "ready", "sequence": 1, "coldLeftMs": 0}}
            self.store.put(f"servers/{instance}", self._registered[instance])

    def silence(self, instance):
        """The back end reports no more; its entry stays."""
        with self._lock:
            self._silent.add(instance)

    def deregister(self, instance):
        with self._lock:
            if self._registered.pop(instance, None) is not None:
                self.store.remove(f"servers/{instance}")

    def _beat(self):
        while not self._closing.wait(HEARTBEAT_S):
            with self._lock:
                for instance, entry in self._registered.items():
                    if instance in self._silent:
                        continue
                    entry["status"]["sequence"] += 1
                    self.store.put(f"servers/{instance}", entry)

    def start_node(self, number, service):
        self.nodes[number] = Node(self, number, service)
        return self.nodes[number]

    def wait_ready(self):
        end = time.monotonic() + READY_LIMIT_S
        while not all(node.is_ready() for node in self.nodes.values()):
            if time.monotonic() > end:
                raise CannotRun("the nodes did not become ready\n" +
                                "\n".join(n.log_text()[-600:] for n in self.nodes.values()))
            time.sleep(0.1)
        time.sleep(STABILITY_S)  # from here on all machines are in touch

    def close(self):
        self._closing.set()
        for node in self.nodes.values():
            node.end()
        if self.store:
            self.store.close()
        shutil.rmtree(self.directory, ignore_errors=True)


class Record:
    """Lines of what was sent, answered and run, written to record.txt of the case's folder."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def line(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


def call(address, method, path, identity, body=b"", headers=(), budget_ms=1000, timeout_s=None):
    """One request on a new connection; returns status, headers and body, or None as status."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s or budget_ms / 1000 + 3)
    try:
        fields = {"Host": HOST, "Pomelohead-Attempt-Id": identity,
                  "Pomelohead-Deadline-Ms": str(budget_ms)}
        fields.update(headers)
        connection.request(method, path, body or None, fields)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException) as error:
        return None, {}, type(error).__name__.encode()
    finally:
        connection.close()


def run_case(folder, case):
    """Runs case(mesh, record), which returns whether the rule was broken; ends the process."""
    record = Record(folder)
    mesh = None
    try:
        mesh = Mesh()
        broken = case(mesh, record)
        record.line("RULE BROKEN" if broken else "rule held")
        code = EXIT_BROKEN if broken else EXIT_HELD
    except CannotRun as error:
        record.line(f"could not run: {error}")
        code = EXIT_NOT_RUN
    except Exception as error:  # a fault of the case itself says nothing about the rule
        record.line(f"could not run: {error!r}")
        code = EXIT_NOT_RUN
    finally:
        if mesh:
            mesh.close()
    print({EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_NOT_RUN: "could not run"}[code])
    raise SystemExit(code)

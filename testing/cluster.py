"""Starts and stops a mesh of real processes on loopback, for tests, benches and the demo.

Each host has one address 127.NET.x.y. The fake platform listens on 127.NET.0.1 and on one
further address per failure domain, so that it can be made unreachable from a single failure
domain. Nodes block links to each other on request (POST /testing).

    with Cluster(net=21) as cluster:
        cluster.start_platform(["bala"])
        cluster.publish(sheet_text, version=1)
        cluster.start_host("bala-1", "bala", "rota", slots=9)
        cluster.wait_version(1)

Leaving the block, also by an exception, terminates every process that the cluster started.
"""
import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
PLATFORM_PORT = 7500
TARGET_PORT = 7100
CALLER_PORT = 7400
ADMIN_PORT = 7403
START_LIMIT_S = 30
STOP_LIMIT_S = 20
SEED_PEERS = 3


class ClusterError(Exception):
    """The cluster did not reach the requested state."""


class Host:
    """One host: an address with a target and the node beside it."""

    def __init__(self, name, domain, service, address, slots, connections):
        self.name = name
        self.domain = domain
        self.service = service
        self.address = address
        self.slots = slots
        self.connections = connections
        self.node = None
        self.target = None
        self.target_options = []
        self.settings = None


def http_call(address, port, method, path, body=None, headers=None, timeout_s=10):
    """One HTTP exchange on a new connection: (status, headers, body bytes)."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def wait_until(condition, what, limit_s=START_LIMIT_S):
    """Polls until `condition()` is true; a connection or parse error counts as false."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.05)
    raise ClusterError(f"timed out after {limit_s} s: {what}")


class Cluster:
    """The processes of one mesh and of its fake platform."""

    def __init__(self, net, region="gwynedd", policy=None):
        self.net = net
        self.region = region
        self.policy = policy or {}
        self.hosts = []
        self.processes = []
        self.domains = []
        self.directory = None
        self.platform = None
        self._old_handler = None

    def __enter__(self):
        self.directory = tempfile.TemporaryDirectory(prefix="pomelohead-")
        self._old_handler = signal.signal(signal.SIGTERM, self._on_sigterm)
        return self

    def __exit__(self, *unused):
        self.close()
        signal.signal(signal.SIGTERM, self._old_handler)
        self.directory.cleanup()

    @staticmethod
    def _on_sigterm(*_):
        raise SystemExit(143)

    # Processes

    def start(self, name, command):
        """Starts a program from build/; appends its output to NAME.log."""
        with open(self.path(f"{name}.log"), "ab") as log:
            process = subprocess.Popen([str(BUILD / command[0]), *command[1:]],
                                       stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def close(self):
        """Terminates all processes; sends SIGKILL to those still running after 5 s."""
        running = [p for p in self.processes if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        end = time.monotonic() + 5
        for process in running:
            try:
                process.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes = []

    def path(self, name):
        return str(pathlib.Path(self.directory.name) / name)

    def log_tail(self, name, lines=20):
        path = pathlib.Path(self.path(f"{name}.log"))
        return "\n".join(path.read_text(errors="replace").splitlines()[-lines:])

    # The platform

    @property
    def platform_address(self):
        return f"127.{self.net}.0.1"

    def domain_address(self, domain):
        """The platform's address for the nodes of a failure domain."""
        return f"127.{self.net}.0.{10 + self.domains.index(domain)}"

    def start_platform(self, domains, rate=2000):
        self.domains = list(domains)
        addresses = [self.platform_address] + [self.domain_address(d) for d in domains]
        self.platform = self.start("platform", ["platform_standin", "--port", str(PLATFORM_PORT),
                                                "--rate", str(rate), "--address", *addresses])
        wait_until(lambda: self.platform_call("GET", "/stats"), "the fake platform responds")

    def platform_call(self, method, path, body=None, headers=None):
        status, _, answer = http_call(self.platform_address, PLATFORM_PORT, method, path, body,
                                      headers)
        if status != 200:
            raise ClusterError(f"{method} {path}: {status} {answer[:200]!r}")
        return json.loads(answer) if answer else None

    def platform_control(self, **message):
        self.platform_call("POST", "/control", json.dumps(message))

    def publish(self, sheet_text, version):
        """Builds a bundle from the sheet and publishes it: the sections, then the manifest."""
        sheet = pathlib.Path(self.path(f"sheet-{version}.csv"))
        sheet.write_text(sheet_text, encoding="utf-8")
        bundle = pathlib.Path(self.path(f"bundle-{version}"))
        done = subprocess.run([str(BUILD / "pomelohead"), "sheet", "build", str(sheet),
                               "--version", str(version), "-o", str(bundle)],
                              capture_output=True, text=True, timeout=START_LIMIT_S, check=False)
        if done.returncode != 0:
            raise ClusterError(f"sheet build: {done.stdout}{done.stderr}")
        for section in (bundle / "sections").glob("*.json"):
            self.platform_call("PUT", f"/v1/values/sections/{section.stem}", section.read_bytes())
        self.platform_call("PUT", "/v1/values/manifest", (bundle / "manifest.json").read_bytes())

    def publish_hosts(self, leaving=()):
        hosts = [{"host": h.name, "address": h.address, "failure_domain": h.domain,
                  "region": self.region, "state": "leaving" if h.name in leaving else "live"}
                 for h in self.hosts]
        self.platform_call("PUT", "/v1/values/hosts", json.dumps(hosts))

    def sheet(self, routes, drains=(), sheds=(), hosts=None):
        """Returns a sheet with `routes` (CSV rows) and one target per host."""
        blocks = [
            ("routes", "route,account,method,path,service,class,idempotent,urgency,deadline_ms",
             routes),
            ("targets", "target,service,host,port,failure_domain,slots,connections",
             [f"{h.name},{h.service},{h.address},{TARGET_PORT},{h.domain},{h.slots},"
              f"{h.connections}" for h in hosts or self.hosts]),
            ("drains", "target,note", [f"{name},planned" for name in drains]),
            ("sheds", "account,class,from_urgency,load_percent", list(sheds))]
        return "\n".join("\n".join([title, header, *rows, ""])
                         for title, header, rows in blocks if rows)

    # Hosts

    def add_host(self, name, domain, service, slots=9, connections=110, target_options=()):
        """Adds a host without starting its processes."""
        number = len(self.hosts) + 1
        host = Host(name, domain, service, f"127.{self.net}.{1 + number // 250}.{number % 250}",
                    slots, connections)
        host.target_options = list(target_options)
        self.hosts.append(host)
        return host

    def host(self, name):
        return next(h for h in self.hosts if h.name == name)

    def start_target(self, host):
        host.target = self.start(f"target-{host.name}", [
            "target_standin", "--name", host.name, "--address", host.address,
            "--port", str(TARGET_PORT), "--slots", str(host.slots),
            "--connections", str(host.connections),
            "--runs-file", self.path(f"runs-{host.name}.txt"), *host.target_options])

    def start_node(self, host):
        others = [h.address for h in self.hosts if h is not host]
        first = self.hosts.index(host)
        peers = (others[first:] + others[:first])[:SEED_PEERS]
        settings = {"node": host.name, "region": self.region, "failure_domain": host.domain,
                    "listen": {"address": host.address},
                    "source": {"address": self.domain_address(host.domain),
                               "port": PLATFORM_PORT},
                    "peers": peers, "log": {"level": "info"}, "testing": True,
                    "policy": self.policy}
        host.settings = self.path(f"{host.name}.json")
        pathlib.Path(host.settings).write_text(json.dumps(settings), encoding="utf-8")
        host.node = self.start(f"node-{host.name}",
                               ["pomelohead", "node", "--settings", host.settings])

    def start_hosts(self):
        for host in self.hosts:
            self.start_target(host)
        for host in self.hosts:
            self.start_node(host)

    def admin(self, host, path, method="GET"):
        status, _, body = http_call(host.address, ADMIN_PORT, method, path)
        if status != 200:
            raise ClusterError(f"{host.name} {path}: {status} {body[:200]!r}")
        return json.loads(body)

    def wait_version(self, version, hosts=None, limit_s=START_LIMIT_S):
        """Waits until `version` or a later one is in force on all hosts. Returns the seconds."""
        begin = time.monotonic()
        for host in hosts or self.hosts:
            wait_until(lambda h=host: self.admin(h, "/status")["version"] >= version,
                       f"version {version} on {host.name}; its log:\n"
                       + self.log_tail(f"node-{host.name}", 5), limit_s)
        return time.monotonic() - begin

    def cut_links(self, groups):
        """Blocks all links between nodes of different groups (lists of hosts), both ways."""
        for group in groups:
            others = [h.address for other in groups if other is not group for h in other]
            for host in group:
                status, _, body = http_call(host.address, ADMIN_PORT, "POST", "/testing",
                                            json.dumps({"blocked_peers": others}))
                if status != 200:
                    raise ClusterError(f"{host.name} /testing: {status} {body[:200]!r}")

    def restore_links(self):
        """Restores all links that cut_links() blocked."""
        self.cut_links([self.hosts])

    def call(self, host, method, path, body=None, headers=None, timeout_s=30):
        """Sends a caller's request through the node on `host`."""
        return http_call(host.address, CALLER_PORT, method, path, body, headers, timeout_s)

    def target_stats(self, host):
        return json.loads(http_call(host.address, TARGET_PORT, "GET", "/standin/stats")[2])

    def target_control(self, host, **message):
        http_call(host.address, TARGET_PORT, "POST", "/standin/control", json.dumps(message))

    def runs(self, hosts=None):
        """Requests started by the targets: [(request id, Unix time in milliseconds)]."""
        lines = []
        for host in hosts or self.hosts:
            path = pathlib.Path(self.path(f"runs-{host.name}.txt"))
            if path.exists():
                lines += path.read_text().splitlines()
        return [(line.rsplit(" ", 1)[0], int(line.rsplit(" ", 1)[1])) for line in lines]


def stop_gracefully(process, limit_s=STOP_LIMIT_S):
    """Sends SIGTERM and returns the exit code."""
    process.terminate()
    return process.wait(limit_s)


def freeze(process):
    os.kill(process.pid, signal.SIGSTOP)


def thaw(process):
    os.kill(process.pid, signal.SIGCONT)


def kill(process):
    process.kill()
    process.wait()

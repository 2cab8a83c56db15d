"""A mesh of many nodes without targets, for tests and benches of distribution.

    with Fleet(net=60, nodes=50) as fleet:
        fleet.start_fleet()                      # version 1 in force on all
        bundle = fleet.build(2)
        published = fleet.put(bundle)
        fleet.wait_in_force(2)
        delays = fleet.delays(2, published)

The times at which versions come into force are read from the nodes' logs, since polling
the nodes would add to the load being measured.
"""
import datetime
import os
import pathlib
import random
import re
import subprocess
import threading
import time

import cluster

TARGETS_PER_SERVICE = 13  # 500 targets in 38 services
MIN_SERVICES = 2
CLOCK_STEP_S = 0.002  # resolution of log timestamps
NODES_PER_START = 25
PAUSE_BETWEEN_STARTS_S = 0.2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
DOMAINS = ("dolgellau", "bala", "porthmadog")
IN_FORCE = re.compile(r'"time":"([^"]+)".*"event":"version_in_force".*version (\d+)')


class Bundle:
    """The manifest and sections of one published version."""

    def __init__(self, directory, version):
        self.version = version
        self.manifest = (directory / "manifest.json").read_bytes()
        self.sections = {path.stem: path.read_bytes()
                         for path in (directory / "sections").glob("*.json")}


class Usage:
    """A snapshot of one node's traffic counters."""

    def __init__(self, status):
        self.control_bytes = status["control_bytes_sent"] + status["control_bytes_received"]
        self.messages = {name: counts["sent"] for name, counts in status["messages"].items()}
        self.message_bytes = {name: counts["sent_bytes"] + counts["received_bytes"]
                              for name, counts in status["messages"].items()}
        self.message_bytes["source"] = status["source_bytes"]


class Fleet(cluster.Cluster):
    """Nodes spread over failure domains, and the fake platform."""

    def __init__(self, net, nodes, policy=None, seed=1, domains=DOMAINS, targets=None):
        """`targets` is the number in the configuration; those beyond `nodes` have no node."""
        super().__init__(net, policy=policy)
        self.random = random.Random(seed)
        self.fleet_domains = list(domains)
        targets = targets or nodes
        self.services = max(MIN_SERVICES, round(targets / TARGETS_PER_SERVICE))
        self.published_sections = set()
        for number in range(targets):
            domain = self.fleet_domains[number % len(self.fleet_domains)]
            self.add_host(f"{domain}-{number}", domain, f"service-{number % self.services}")
        self.configured_hosts = self.hosts
        self.hosts = self.hosts[:nodes]

    # Versions

    def build(self, version):
        """Builds a bundle that differs from the previous version in one service."""
        self.hosts[version % self.services].slots = 9 + version
        sheet = pathlib.Path(self.path(f"sheet-{version}.csv"))
        routes = [f"route-{s},account-{s % 7},GET,/service-{s},service-{s},short,yes,normal,800"
                  for s in range(self.services)]
        sheet.write_text(self.sheet(routes, hosts=self.configured_hosts), encoding="utf-8")
        directory = pathlib.Path(self.path(f"bundle-{version}"))
        done = subprocess.run([str(cluster.BUILD / "pomelohead"), "sheet", "build", str(sheet),
                               "--version", str(version), "-o", str(directory)],
                              capture_output=True, text=True, timeout=cluster.START_LIMIT_S,
                              check=False)
        if done.returncode != 0:
            raise cluster.ClusterError(f"sheet build: {done.stdout}{done.stderr}")
        return Bundle(directory, version)

    def put(self, bundle):
        """Publishes new sections, then the manifest. Returns the Unix time of the latter in s."""
        for digest, content in bundle.sections.items():
            if digest not in self.published_sections:
                self.platform_call("PUT", f"/v1/values/sections/{digest}", content)
                self.published_sections.add(digest)
        moment = time.time()
        self.platform_call("PUT", "/v1/values/manifest", bundle.manifest)
        return moment

    # Processes

    def start_nodes(self, hosts=None, pause_s=PAUSE_BETWEEN_STARTS_S):
        """Starts nodes in batches with a pause after each, as test machines have few cores."""
        hosts = self.hosts if hosts is None else hosts
        for first in range(0, len(hosts), NODES_PER_START):
            for host in hosts[first:first + NODES_PER_START]:
                self.start_node(host)
            time.sleep(pause_s)

    def start_fleet(self, limit_s=60):
        """Starts the platform and all nodes with version 1, and returns its bundle."""
        self.start_platform(self.fleet_domains)
        first = self.build(1)
        self.put(first)
        self.publish_hosts()
        self.start_nodes()
        self.wait_in_force(1, limit_s=limit_s)
        return first

    def domain_hosts(self, domain):
        return [host for host in self.hosts if host.domain == domain]

    def kill_nodes(self, hosts):
        """Kills nodes with SIGKILL, all at once."""
        for host in hosts:
            host.node.kill()
        for host in hosts:
            host.node.wait()

    # Observations

    def in_force(self, host):
        """Versions that came into force by a host's log: [(Unix time in seconds, version)]."""
        text = pathlib.Path(self.path(f"node-{host.name}.log")).read_text(errors="replace")
        found = []
        for line in text.splitlines():
            match = IN_FORCE.search(line)
            if match:
                moment = datetime.datetime.fromisoformat(match.group(1).replace("Z", "+00:00"))
                found.append((moment.timestamp(), int(match.group(2))))
        return found

    def wait_in_force(self, version, hosts=None, since=0.0, limit_s=60, pause_s=0.25):
        """Waits until the logs of all hosts show `version` or a later one in force at or
        after `since`."""
        waiting = list(self.hosts if hosts is None else hosts)
        end = time.monotonic() + limit_s
        while waiting:
            waiting = [host for host in waiting
                       if not any(v >= version and moment >= since
                                  for moment, v in self.in_force(host))]
            if waiting and time.monotonic() > end:
                raise cluster.ClusterError(
                    f"version {version} not in force within {limit_s} s on {len(waiting)} hosts, "
                    f"e.g. {waiting[0].name}:\n" + self.log_tail(f"node-{waiting[0].name}", 8))
            if waiting:
                time.sleep(pause_s)

    def delays(self, version, published, hosts=None):
        """Per host, the seconds from `published` until `version` or a later one was in force."""
        return [min(moment for moment, v in self.in_force(host)
                    if v >= version and moment >= published - CLOCK_STEP_S) - published
                for host in (self.hosts if hosts is None else hosts)]

    def rollbacks(self, hosts=None):
        """Cases where a host put an older version in force, also across restarts:
        [(host name, version before, version after)]."""
        found = []
        for host in self.hosts if hosts is None else hosts:
            versions = [version for _, version in self.in_force(host)]
            found += [(host.name, before, after)
                      for before, after in zip(versions, versions[1:]) if after < before]
        return found

    def usage(self, host):
        """Reads a node's traffic counters, which costs the node some CPU time."""
        return Usage(self.admin(host, "/status"))

    def source_calls(self):
        return self.platform_call("GET", "/stats")["calls"]


def resident_mib(pid):
    """Resident memory of a process in MiB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1024 / 1024


def source_watchers(fleet, hosts):
    """The hosts whose nodes currently watch the source."""
    return [host for host in hosts if fleet.admin(host, "/status")["source"]["watching"]]


class CallRateSampler:
    """Samples the source's call counter to find the highest count in any one second.

        with CallRateSampler(fleet) as sampler:
            ...
        sampler.most_in_one_second()

    Windows are at least one second long, so the result is never an underestimate.
    """

    SAMPLE_PERIOD_S = 0.1
    WINDOW_S = 1.0

    def __init__(self, fleet):
        self.fleet = fleet
        self.samples = []
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._sample()
        self._thread.start()
        return self

    def __exit__(self, *unused):
        self._done.set()
        self._thread.join()
        self._sample()

    def total(self):
        return self.samples[-1][1] - self.samples[0][1]

    def most_in_one_second(self):
        most = 0
        for index, (moment, calls) in enumerate(self.samples):
            later = next((c for m, c in self.samples[index:] if m - moment >= self.WINDOW_S),
                         self.samples[-1][1])
            most = max(most, later - calls)
        return most

    def _run(self):
        while not self._done.wait(self.SAMPLE_PERIOD_S):
            self._sample()

    def _sample(self):
        self.samples.append((time.monotonic(), self.fleet.source_calls()))

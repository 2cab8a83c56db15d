"""Herds: nodes killed with SIGKILL together and started again at once.

Measures the most calls that the source gets in any one second, how long it takes
until all nodes have the newest version, and that none has an older version in force
than before. The bound of calls is half of the source's rate, scaled from the users'
500 nodes to the fleet measured.
"""
import argparse
import sys
import time

from common import Report  # first: it sets the path to testing/
import fleet as fleets

NET = 61
SOURCE_CALLS_PER_S = 2000
USERS_NODES = 500
IN_FORCE_BOUND_S = 9
SETTLE_S = 5
QUICK_SETTLE_S = 3
RETURN_LIMIT_S = 90

VARIANTS = {"peers": {}, "every-node-watches": {"gossip": 0}}


class Herd:
    """One fleet, and the scenarios that it goes through one after the other."""

    def __init__(self, report, fleet, variant, settle_s, outage_s):
        self.report = report
        self.fleet = fleet
        self.variant = variant
        self.settle_s = settle_s
        self.outage_s = outage_s
        self.version = 1

    def bound(self, value):
        return value if self.variant == "peers" else None

    def publish(self):
        self.version += 1
        return self.fleet.put(self.fleet.build(self.version))

    def add(self, scenario, watch, returned_s, bound_s):
        name = f"{self.variant}/{len(self.fleet.hosts)}/{scenario}"
        calls_bound = SOURCE_CALLS_PER_S / 2 * len(self.fleet.hosts) / USERS_NODES
        self.report.figure("source_calls_most_in_1s", name, watch.most_in_one_second(), "calls/s",
                        self.bound(calls_bound))
        self.report.figure("source_calls_total", name, watch.total(), "calls")
        self.report.figure("newest_on_all_after_start", name, returned_s, "s",
                        self.bound(bound_s))
        self.report.figure("rollbacks", name, len(self.fleet.rollbacks()), "steps back", 0)

    def all_return(self):
        """All nodes die; a version is published while they start again."""
        with fleets.CallRateSampler(self.fleet) as watch:
            self.fleet.kill_nodes(self.fleet.hosts)
            began = time.time()
            self.fleet.start_nodes(pause_s=0)
            started_s = time.time() - began
            self.publish()
            returned = self.wait_newest(self.fleet.hosts, began)
            time.sleep(self.settle_s)
        name = f"{self.variant}/{len(self.fleet.hosts)}/all-return"
        self.report.figure("processes_started", name, started_s, "s")
        self.add("all-return", watch, returned, IN_FORCE_BOUND_S)

    def all_return_without_source(self):
        """All nodes die and return while the source is down; later it is up again."""
        with fleets.CallRateSampler(self.fleet) as watch:
            self.fleet.platform_control(mode="down")
            self.fleet.kill_nodes(self.fleet.hosts)
            self.fleet.start_nodes(pause_s=0)
            time.sleep(self.outage_s)
            self.publish()
            up = time.time()
            self.fleet.platform_control(mode="up")
            returned = self.wait_newest(self.fleet.hosts, up)
            time.sleep(self.settle_s)
        self.add("all-return-source-down", watch, returned, None)

    def half_returns_without_source(self):
        """Every second node dies and returns while the source is down: fed by the others."""
        half = self.fleet.hosts[::2]
        with fleets.CallRateSampler(self.fleet) as watch:
            self.fleet.platform_control(mode="down")
            self.fleet.kill_nodes(half)
            began = time.time()
            self.fleet.start_nodes(half, pause_s=0)
            returned = self.wait_newest(half, began)
            time.sleep(self.settle_s)
            self.fleet.platform_control(mode="up")
        self.add("half-returns-source-down", watch, returned, IN_FORCE_BOUND_S)

    def domain_returns(self):
        """One failure domain dies, misses a version, and returns."""
        domain = self.fleet.domain_hosts(self.fleet.fleet_domains[0])
        with fleets.CallRateSampler(self.fleet) as watch:
            self.fleet.kill_nodes(domain)
            self.publish()
            time.sleep(self.settle_s)
            began = time.time()
            self.fleet.start_nodes(domain, pause_s=0)
            returned = self.wait_newest(domain, began)
            time.sleep(self.settle_s)
        self.add("domain-returns", watch, returned, IN_FORCE_BOUND_S)

    def wait_newest(self, hosts, since):
        """Seconds from `since` to the newest version in force on all of `hosts`."""
        self.fleet.wait_in_force(self.version, hosts, since, RETURN_LIMIT_S)
        return max(self.fleet.delays(self.version, since, hosts))


def measure(report, variant, nodes, seed, settle_s, outage_s):
    with fleets.Fleet(NET, nodes, VARIANTS[variant], seed) as fleet:
        fleet.start_fleet()
        time.sleep(settle_s)
        herd = Herd(report, fleet, variant, settle_s, outage_s)
        herd.all_return()
        herd.all_return_without_source()
        if variant == "peers":
            herd.half_returns_without_source()
            herd.domain_returns()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="ends within 45 s")
    parser.add_argument("--nodes", type=int, help="size of the fleet")
    parser.add_argument("--no-baseline", action="store_true")
    options = parser.parse_args()
    nodes = options.nodes or (50 if options.quick else 200)
    settle_s = QUICK_SETTLE_S if options.quick else SETTLE_S
    outage_s = 2 if options.quick else 20
    report = Report("herd", options.seed)
    measure(report, "peers", nodes, options.seed, settle_s, outage_s)
    if not options.quick and not options.no_baseline:
        measure(report, "every-node-watches", nodes, options.seed, settle_s, outage_s)
    sys.exit(1 if report.missed else 0)


if __name__ == "__main__":
    main()

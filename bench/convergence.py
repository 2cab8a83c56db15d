"""How fast a version comes into force on every node, and what distribution costs each.

Three windows per size of the fleet: idle; one change every few seconds (several
times the users' rate of one in 33 s); a burst of 10 changes in a second. The cost of
one change is the difference of the first two windows. Two baselines run beside the
mesh of peers: every node watches the source, every node polls it.
"""
import argparse
import statistics
import sys
import time

from common import Report, cpu_s  # first: it sets the path to testing/
import fleet as fleets

NET = 60
IN_FORCE_BOUND_S = 9
CONTROL_BOUND_BYTES_PER_S = 6000
CPU_BOUND_PERCENT = 2.2
MEMORY_BOUND_MIB = 128
USERS_CHANGE_PERIOD_S = 33
BURST_CHANGES = 10
BURST_S = 1.0
POLL_PERIOD_S = 2
SETTLE_S = 5

VARIANTS = {"peers": {},
            "every-node-watches": {"gossip": 0},
            "every-node-polls": {"gossip": 0, "source_poll_s": POLL_PERIOD_S}}


class Window:
    """What the nodes and the source did from its beginning to its end."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.calls = fleet.source_calls()
        self.usage = [(fleet.usage(host), cpu_s(host.node), time.monotonic())
                      for host in fleet.hosts]
        self.begin = time.monotonic()

    def end(self):
        """The rates of the window."""
        calls_per_s = (self.fleet.source_calls() - self.calls) / (time.monotonic() - self.begin)
        nodes = []
        for host, (before, cpu_before, moment) in zip(self.fleet.hosts, self.usage):
            # Reading the status page costs the node; the processor time is read before it.
            cpu = cpu_s(host.node) - cpu_before
            elapsed = time.monotonic() - moment
            nodes.append(NodeRates(before, self.fleet.usage(host), cpu, elapsed))
        return Rates(nodes, calls_per_s)


class NodeRates:
    """One node's use per second."""

    def __init__(self, before, after, cpu, elapsed):
        self.control_bytes = (after.control_bytes - before.control_bytes) / elapsed
        self.cpu = cpu / elapsed
        self.messages = {name: (count - before.messages[name]) / elapsed
                         for name, count in after.messages.items()}
        self.message_bytes = {name: (count - before.message_bytes[name]) / elapsed
                              for name, count in after.message_bytes.items()}


class Rates:
    """Use per second of all nodes, in the order of the hosts, and of the source."""

    def __init__(self, nodes, source_calls):
        self.control_bytes = [node.control_bytes for node in nodes]
        self.cpu = [node.cpu for node in nodes]
        self.source_calls = source_calls
        self.messages = {name: statistics.mean(node.messages[name] for node in nodes)
                         for name in nodes[0].messages}
        self.message_bytes = {name: statistics.mean(node.message_bytes[name] for node in nodes)
                              for name in nodes[0].message_bytes}


def rates_at_users_rate(idle, changing, change_period_s):
    """Each node's rate at one change in USERS_CHANGE_PERIOD_S, from its rates without
    changes and with one each `change_period_s`."""
    return [before + (after - before) * change_period_s / USERS_CHANGE_PERIOD_S
            for before, after in zip(idle, changing)]


def measure(report, variant, nodes, window_s, change_period_s, options):
    name = f"{variant}/{nodes}"
    if options.targets:
        name += f"/{options.targets}-targets"
    with fleets.Fleet(NET, nodes, VARIANTS[variant], options.seed,
                      targets=options.targets) as fleet:
        fleet.start_fleet()
        time.sleep(SETTLE_S)

        window = Window(fleet)
        time.sleep(window_s)
        idle = window.end()
        start = [usage for usage, _, _ in window.usage]
        start_cpu = [cpu for _, cpu, _ in window.usage]

        count = max(1, int(window_s / change_period_s))
        bundles = [fleet.build(2 + i) for i in range(count + BURST_CHANGES)]
        window = Window(fleet)
        published = []
        for bundle in bundles[:count]:
            published.append((bundle.version, fleet.put(bundle)))
            time.sleep(change_period_s)
        changing = window.end()
        fleet.wait_in_force(published[-1][0])
        delays = [d for version, when in published for d in fleet.delays(version, when)]

        for bundle in bundles[count:]:
            last = fleet.put(bundle)
            time.sleep(BURST_S / BURST_CHANGES)
        fleet.wait_in_force(bundles[-1].version)
        burst = fleet.delays(bundles[-1].version, last)
        memory = [fleets.resident_mib(host.node.pid) for host in fleet.hosts]
        rollbacks = fleet.rollbacks()

    mine = variant == "peers"

    def bound(value):
        return value if mine else None

    mean = statistics.mean
    report.figure("in_force_everywhere", name, max(delays), "s", bound(IN_FORCE_BOUND_S))
    report.figure("in_force_median_node", name, statistics.median(delays), "s")
    report.figure("in_force_everywhere_burst", name, max(burst), "s", bound(IN_FORCE_BOUND_S))
    report.figure("control_bytes_idle_mean", name, mean(idle.control_bytes), "B/s")
    report.figure("control_bytes_idle_max", name, max(idle.control_bytes), "B/s",
               bound(CONTROL_BOUND_BYTES_PER_S))
    report.figure(f"control_bytes_change_each_{change_period_s}s_max", name,
               max(changing.control_bytes), "B/s")
    report.figure("control_bytes_per_change_mean", name,
               (mean(changing.control_bytes) - mean(idle.control_bytes)) * change_period_s, "B")
    at_users_rate = rates_at_users_rate(idle.control_bytes, changing.control_bytes,
                                        change_period_s)
    report.figure("control_bytes_at_users_rate_mean", name, mean(at_users_rate), "B/s")
    report.figure("control_bytes_at_users_rate_max", name, max(at_users_rate), "B/s",
               bound(CONTROL_BOUND_BYTES_PER_S))
    report.figure("cpu_idle_mean", name, 100 * mean(idle.cpu), "% of a core",
               bound(CPU_BOUND_PERCENT))
    report.figure(f"cpu_change_each_{change_period_s}s_max", name, 100 * max(changing.cpu),
               "% of a core")
    report.figure("cpu_per_change_mean", name,
               1000 * (mean(changing.cpu) - mean(idle.cpu)) * change_period_s, "ms")
    report.figure("cpu_at_users_rate_max", name,
               100 * max(rates_at_users_rate(idle.cpu, changing.cpu, change_period_s)),
               "% of a core", bound(CPU_BOUND_PERCENT))
    report.figure("memory_max", name, max(memory), "MiB", bound(MEMORY_BOUND_MIB))
    report.figure("memory_mean", name, mean(memory), "MiB")
    report.figure("source_calls_idle", name, idle.source_calls, "calls/s")
    report.figure(f"source_calls_change_each_{change_period_s}s", name, changing.source_calls,
               "calls/s")
    report.figure("control_bytes_of_a_start_mean", name,
                  mean(usage.control_bytes for usage in start), "B")
    report.figure("member_list_bytes_of_a_start_mean", name,
                  mean(usage.message_bytes["member_list"] for usage in start), "B")
    report.figure("cpu_of_a_start_mean", name, 1000 * mean(start_cpu), "ms")
    for kind, rate in idle.messages.items():
        report.figure(f"sent_idle_{kind}", name, rate, "messages/s")
        report.figure(f"sent_per_change_{kind}", name,
                   (changing.messages[kind] - rate) * change_period_s, "messages")
    for kind, rate in idle.message_bytes.items():
        report.figure(f"bytes_idle_{kind}", name, rate, "B/s")
        report.figure(f"bytes_per_change_{kind}", name,
                   (changing.message_bytes[kind] - rate) * change_period_s, "B")
    report.figure("rollbacks", name, len(rollbacks), "steps back", bound(0))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="ends within 45 s")
    parser.add_argument("--nodes", type=int, nargs="*", help="sizes of the fleet")
    parser.add_argument("--baseline-nodes", type=int, nargs="*", help="sizes for the baselines")
    parser.add_argument("--targets", type=int,
                        help="targets in the configuration; by default one for each node")
    options = parser.parse_args()
    sizes = options.nodes if options.nodes is not None else (
        [25, 50] if options.quick else [25, 50, 100, 200])
    baselines = options.baseline_nodes if options.baseline_nodes is not None else (
        [] if options.quick else [200])
    window_s, change_period_s = (4, 1) if options.quick else (20, 4)
    report = Report("convergence", options.seed)
    for nodes in sizes:
        measure(report, "peers", nodes, window_s, change_period_s, options)
    for variant in ("every-node-watches", "every-node-polls"):
        for nodes in baselines:
            measure(report, variant, nodes, window_s, change_period_s, options)
    sys.exit(1 if report.missed else 0)


if __name__ == "__main__":
    main()

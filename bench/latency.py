"""What two nodes add to a call, and the processor time that a node spends on one.

The same seeded calls go straight to a target and through an entry and an owner on two
hosts, in turns, at half of the target's slots. The target has enough slots that calls
hardly ever wait for one at that load: what is compared is the way, not a queue.
"""
import statistics

import common
from cluster import CALLER_PORT, TARGET_PORT, Cluster

NET = 41
SLOTS = 32
WORK_MS = 16
WARM_UP_S = 4
ADDED_P99_BOUND_MS = 1.5
RATES = [100, 1000, 3000]
SLOPE_WORK_MS = 2
ROUTES = ["Read,gwynedd,GET,/read,rota,short,yes,normal,5000",
          "Other,gwynedd,GET,/other,other,short,yes,normal,5000"]


def plan(seed, seconds, rate, entry, work_ms, path="/read"):
    return {"seed": seed, "duration_s": seconds, "schedule": common.steady(rate),
            "entries": [entry], "id_prefix": f"latency-{seed}",
            "mix": [{"name": "read", "path": path, "work_ms": work_ms}]}


def check_whole(report, variant, summary):
    read = summary["kinds"]["read"]
    complete = read["outcomes"].get("complete", 0) / max(1, read["sent"])
    report.figure("complete share", variant, round(complete, 5), "ratio")
    report.figure("foreign or short answers", variant,
                  read["foreign"] + read["outcomes"].get("short", 0), "count", 0)
    return read


def added_latency(report, cluster, seed, rounds, seconds):
    entry, owner = cluster.hosts
    rate = 0.5 * SLOTS / (WORK_MS / 1000)
    ways = {"straight": f"{owner.address}:{TARGET_PORT}",
            "two nodes": f"{entry.address}:{CALLER_PORT}"}
    figures = {name: {"p50": [], "p99": [], "p999": []} for name in ways}
    # An owner begins with few slots by design; what is measured is the time after that.
    common.drive(cluster, "warm-up", plan(seed, WARM_UP_S, rate, ways["two nodes"], WORK_MS))
    cpu = 0.0
    calls = 0
    for number in range(rounds):
        for name, address in ways.items():
            before = common.cpu_s(entry.node) + common.cpu_s(owner.node)
            summary = common.drive(cluster, f"way-{number}",
                                   plan(seed + number, seconds, rate, address, WORK_MS))
            read = check_whole(report, name, summary)
            for key, values in figures[name].items():
                values.append(read["complete_ms"][key])
            if name == "two nodes":
                cpu += common.cpu_s(entry.node) + common.cpu_s(owner.node) - before
                calls += read["sent"]
    for key in ("p50", "p99", "p999"):
        straight, nodes = (statistics.median(figures[name][key]) for name in ways)
        report.figure(f"latency {key}", "straight", round(straight, 3), "ms")
        report.figure(f"latency {key}", "two nodes", round(nodes, 3), "ms")
        report.figure(f"added {key}", "two nodes", round(nodes - straight, 3), "ms",
                      ADDED_P99_BOUND_MS if key == "p99" else None)
    report.figure("processor time per call", "both nodes", round(1e6 * cpu / calls, 1), "us")


def processor_slope(report, cluster, seed, seconds):
    owner = cluster.hosts[1]
    used = []
    for rate in RATES:
        before = common.cpu_s(owner.node)
        summary = common.drive(cluster, f"rate-{rate}", plan(
            seed, seconds, rate, f"{owner.address}:{CALLER_PORT}", SLOPE_WORK_MS))
        read = check_whole(report, f"{rate} calls/s", summary)
        share = (common.cpu_s(owner.node) - before) / summary["elapsed_s"]
        used.append(share)
        report.figure("processor share", f"{rate} calls/s", round(share, 4), "cores")
        if read["complete_ms"]:
            report.figure("latency p99", f"{rate} calls/s",
                          round(read["complete_ms"]["p99"], 3), "ms")
    slope = (used[-1] - used[0]) / (RATES[-1] - RATES[0])
    report.figure("processor time per call, slope", "one node", round(1e6 * slope, 1), "us")


def run(report, seed, quick):
    with Cluster(NET) as cluster:
        cluster.start_platform(["dolgellau", "bala"])
        cluster.add_host("other-1", "dolgellau", "other", slots=SLOTS)
        cluster.add_host("rota-1", "bala", "rota", slots=SLOTS, connections=400)
        cluster.publish_hosts()
        cluster.publish(cluster.sheet(ROUTES), 1)
        cluster.start_hosts()
        cluster.wait_version(1)
        added_latency(report, cluster, seed, rounds=2 if quick else 5, seconds=4 if quick else 10)
        processor_slope(report, cluster, seed, seconds=4 if quick else 10)


if __name__ == "__main__":
    common.main("latency", run)

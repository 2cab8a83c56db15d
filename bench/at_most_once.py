"""Sends requests that may not be repeated while nodes and targets fail, and counts runs.

Half of the swaps carry a ticket and are sent again after a time-out, under the same
ticket, through another entry; the rest are sent once. Faults come one after another,
drawn from the seed: kill -9 of a node or a target, a freeze of either, planned stops.
Then, apart: uploads during a planned stop of their owner's node, and a request that
crashes each target that runs it. A request is untouched by faults where no fault
lasted, or had ended within SETTLE_S, at any time between its arrival and its end.
"""
import collections
import json
import pathlib
import random
import subprocess
import time

import common
from cluster import (BUILD, CALLER_PORT, Cluster, freeze, http_call, kill, stop_gracefully, thaw,
                     wait_until)

NET = 42
DOMAINS = ["dolgellau", "bala", "porthmadog"]
HOSTS = 7
SETTLE_S = 1.0
QUIET_S = 1.5
LEAVE_LIMIT_S = 5
CRASH_EXIT = 77
CRASH_SENDS = 6
MAX_KILLED = 2
UPLOADS = 8
ROUTES = ["Swap,gwynedd,POST,/swaps,rota,short,no,normal,3000",
          "Read,gwynedd,GET,/read,rota,short,yes,normal,2000",
          "Photo,gwynedd,PUT,/photos,rota,long,yes,deferrable,600000"]


def start(cluster):
    cluster.start_platform(DOMAINS)
    for number in range(HOSTS):
        domain = DOMAINS[number % len(DOMAINS)]
        cluster.add_host(f"{domain}-{number // len(DOMAINS) + 1}", domain, "rota")
    cluster.publish_hosts()
    cluster.publish(cluster.sheet(ROUTES), 1)
    cluster.start_hosts()
    cluster.wait_version(1)


def entries(cluster):
    return [f"{host.address}:{CALLER_PORT}" for host in cluster.hosts]


def restart_node(cluster, host):
    cluster.start_node(host)
    cluster.wait_version(1, [host])


def apply_fault(cluster, host, fault, length_s):
    if fault == "kill node":
        kill(host.node)
        time.sleep(length_s / 4)
        restart_node(cluster, host)
    elif fault == "kill target":
        kill(host.target)
        time.sleep(length_s / 4)
        cluster.start_target(host)
    elif fault == "stop node":
        stop_gracefully(host.node)
        restart_node(cluster, host)
    elif fault == "stop target":
        stop_gracefully(host.target)
        cluster.start_target(host)
    else:
        frozen = host.node if fault == "freeze node" else host.target
        freeze(frozen)
        time.sleep(length_s)
        thaw(frozen)


def under_faults(report, cluster, seed, seconds, rate, longest_s):
    records = cluster.path("records.jsonl")
    plan = {"seed": seed, "duration_s": seconds, "schedule": common.steady(rate),
            "entries": entries(cluster), "timeout_ms": 4000, "records": records, "mix": [
                {"name": "swap by ticket", "share": 0.45, "method": "POST", "path": "/swaps",
                 "body_bytes": 200, "work_ms": 10, "exponential_work": True, "ticket": True,
                 "resends": 3},
                {"name": "swap", "share": 0.45, "method": "POST", "path": "/swaps",
                 "body_bytes": 200, "work_ms": 10, "exponential_work": True},
                {"name": "read", "share": 0.1, "path": "/read", "work_ms": 5}]}
    path = pathlib.Path(cluster.path("plan.json"))
    path.write_text(json.dumps(plan), encoding="utf-8")
    draw = random.Random(seed)
    windows = []
    begin = time.monotonic()
    driver = subprocess.Popen([str(BUILD / "load_driver"), str(path)], stdout=subprocess.DEVNULL)
    cluster.processes.append(driver)
    kinds = ["kill node", "kill target", "freeze node", "freeze target", "stop node",
             "stop target"]
    order = draw.sample(kinds, len(kinds))
    number = 0
    while time.monotonic() - begin < seconds - longest_s - QUIET_S:
        fault = order[number % len(order)]
        number += 1
        from_s = time.monotonic() - begin
        apply_fault(cluster, draw.choice(cluster.hosts), fault, draw.uniform(1, longest_s))
        windows.append((from_s, time.monotonic() - begin + SETTLE_S))
        time.sleep(SETTLE_S + QUIET_S)
    driver.wait(seconds + common.DRIVER_MARGIN_S)
    lines = pathlib.Path(records).read_text().splitlines()
    judge(report, cluster, [json.loads(line) for line in lines], windows)


def untouched(record, windows):
    end_s = record["at_s"] + record["latency_ms"] / 1000
    return all(end_s < begin or record["at_s"] > end for begin, end in windows)


def judge(report, cluster, records, windows):
    runs = collections.Counter(name for name, _ in cluster.runs())
    swaps = [r for r in records if r["kind"] != "read"]
    outcomes = collections.Counter(r["outcome"] for r in records)
    calm = [r for r in records if untouched(r, windows)]
    report.figure("faults", "all", len(windows), "count")
    report.figure("not repeatable", "sent", len(swaps), "count", 2000, at_least=True)
    report.figure("doubled", "swaps", sum(runs[r["id"]] > 1 for r in swaps), "count", 0)
    report.figure("false not-run", "swaps", sum(
        r["outcome"] == "not-run" and runs[r["id"]] > 0 for r in swaps), "count", 0)
    report.figure("complete without a run", "swaps", sum(
        r["outcome"] == "complete" and runs[r["id"]] == 0 for r in swaps), "count", 0)
    report.figure("foreign or short as whole", "all", sum(r["foreign"] for r in records),
                  "count", 0)
    for name, count in sorted(outcomes.items()):
        report.figure("share", name, round(count / len(records), 5), "ratio",
                      0.02 if name == "unknown" else None)
    report.figure("untouched", "sent", len(calm), "count")
    if calm:
        report.figure("untouched complete", "all", round(
            sum(r["outcome"] == "complete" for r in calm) / len(calm), 5), "ratio", 0.99,
            at_least=True)


def uploads_at_a_stop(report, cluster, seed):
    host = cluster.hosts[0]
    plan = {"seed": seed, "duration_s": 1, "schedule": common.steady(2 * UPLOADS),
            "entries": entries(cluster), "timeout_ms": 30_000, "id_prefix": "photo",
            "mix": [{"name": "photo", "method": "PUT", "path": "/photos", "body_bytes": 300_000,
                     "trickle_bytes_per_s": 100_000}]}
    path = pathlib.Path(cluster.path("uploads.json"))
    path.write_text(json.dumps(plan), encoding="utf-8")
    driver = subprocess.Popen([str(BUILD / "load_driver"), str(path)], stdout=subprocess.PIPE)
    cluster.processes.append(driver)
    time.sleep(1.5)
    code = stop_gracefully(host.node, 30)
    photo = json.loads(driver.communicate(timeout=60)[0])["kinds"]["photo"]
    whole = photo["outcomes"].get("complete", 0)
    report.figure("cut uploads at a planned stop", "uploads", photo["sent"] - whole, "count", 0)
    report.figure("exit code of a planned stop", "node", code, "code", 0)
    restart_node(cluster, host)


def drained_target(report, cluster, seed):
    host = cluster.hosts[-1]
    cluster.publish(cluster.sheet(ROUTES, drains=[host.name]), 2)
    left_ms = time.time() * 1000
    common.drive(cluster, "drained", {
        "seed": seed, "duration_s": LEAVE_LIMIT_S + 2, "schedule": common.steady(50),
        "id_prefix": "drained", "entries": entries(cluster),
        "mix": [{"name": "read", "path": "/read"}]})
    late = sum(at > left_ms + 1000 * LEAVE_LIMIT_S for _, at in cluster.runs([host]))
    report.figure("new work 5 s after leaving", "drained target", late, "count", 0)


def crashing_request(report, cluster):
    for number in range(CRASH_SENDS):
        entry = cluster.hosts[number % len(cluster.hosts)]
        http_call(entry.address, CALLER_PORT, "GET", "/read/poison",
                  headers={"X-Crash": "1", "Pomelohead-Request-Id": f"poison-{number}"},
                  timeout_s=30)
        time.sleep(0.5)
    killed = sum(h.target.poll() == CRASH_EXIT for h in cluster.hosts)
    report.figure("targets killed", "one crashing request", killed, "count", MAX_KILLED)
    for host in cluster.hosts:
        if host.target.poll() is not None:
            cluster.start_target(host)
    wait_until(lambda: cluster.call(cluster.hosts[0], "GET", "/read")[0] == 200,
               "reads are served after the crashes")


def run(report, seed, quick):
    with Cluster(NET) as cluster:
        start(cluster)
        under_faults(report, cluster, seed, seconds=20 if quick else 120,
                     rate=125 if quick else 60, longest_s=3 if quick else 10)
        uploads_at_a_stop(report, cluster, seed)
        crashing_request(report, cluster)
        drained_target(report, cluster, seed)


if __name__ == "__main__":
    common.main("at_most_once", run)

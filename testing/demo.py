"""Runs a mesh of six nodes in three failure domains and prints what happens.

Used by scripts/demo. Exits with 0 if every step succeeded.
"""
import collections
import json
import sys

from cluster import Cluster, ClusterError, wait_until

DOMAINS = ["dolgellau", "bala", "porthmadog"]
SERVED_REQUESTS = 60
UPLOAD_BYTES = 5_000_000
ROUTES = ["Tonight's rota,gwynedd,GET,/rota,rota,short,yes,urgent,2000",
          "Swap round,gwynedd,POST,/rota/swaps,rota,short,no,urgent,5000",
          "Tower photo,gwynedd,PUT,/photos,rota,long,yes,deferrable,600000"]
NEW_ROUTE = "Clock records,gwynedd,GET,/clocks,rota,short,yes,normal,2000"


def say(text):
    print(text, flush=True)


def expect(condition, text):
    if not condition:
        raise ClusterError(text)


def outcome(headers):
    return {name.lower(): value for name, value in headers.items()}.get("pomelohead-outcome")


def served_by(cluster, count):
    """Sends `count` reads through all entries in turn; counts them by target."""
    seen = collections.Counter()
    for number in range(count):
        entry = cluster.hosts[number % len(cluster.hosts)]
        status, headers, body = cluster.call(entry, "GET", "/rota/tonight",
                                             headers={"Pomelohead-Request-Id": f"demo-{number}"})
        expect(status == 200 and outcome(headers) == "complete",
               f"read {number} through {entry.name}: {status} {outcome(headers)} {body[:200]!r}")
        answer = json.loads(body)
        expect(answer["request_id"] == f"demo-{number}", f"read {number} got another's answer")
        seen[answer["target"]] += 1
    return seen


def serve(cluster):
    say("Serving: callers ask every node in turn; a node passes each request to the owner "
        "of a target.")
    seen = served_by(cluster, SERVED_REQUESTS)
    for target, count in sorted(seen.items()):
        say(f"  {target} ran {count} of {SERVED_REQUESTS} reads")
    entry = cluster.hosts[0]
    expect(any(name != entry.name for name in seen), "no read was served through a second node")
    status, headers, _ = cluster.call(entry, "POST", "/rota/swaps", b'{"round":"Sunday"}',
                                      {"Pomelohead-Request-Id": "demo-swap"})
    runs = [name for name, _ in cluster.runs()].count("demo-swap")
    expect(status == 200 and runs == 1, f"the swap: {status}, {runs} runs")
    say(f"  a swap (not repeatable) sent through {entry.name}: {outcome(headers)}, ran {runs} time")
    status, headers, body = cluster.call(entry, "PUT", "/photos/1", b"p" * UPLOAD_BYTES)
    expect(status == 200 and json.loads(body)["bytes"] == UPLOAD_BYTES, f"the upload: {status}")
    say(f"  an upload of {UPLOAD_BYTES} bytes: {outcome(headers)}")
    status, headers, _ = cluster.call(entry, "GET", "/clocks")
    expect(status == 404, f"a path without a route: {status}")
    say(f"  a path without a route: {status}, {outcome(headers)}")


def second_version(cluster):
    cluster.publish(cluster.sheet(ROUTES + [NEW_ROUTE]), 2)
    seconds = cluster.wait_version(2)
    status, headers, _ = cluster.call(cluster.hosts[-1], "GET", "/clocks")
    expect(status == 200, f"the new route: {status}")
    say(f"Published version 2 with a new route: in force on all nodes after {seconds:.1f} s; "
        f"the new route answers {status}, {outcome(headers)}")


def drain(cluster):
    leaving = cluster.hosts[1].name
    cluster.publish(cluster.sheet(ROUTES + [NEW_ROUTE], drains=[leaving]), 3)
    seconds = cluster.wait_version(3)
    wait_until(lambda: leaving not in served_by(cluster, len(cluster.hosts)),
               f"{leaving} gets no work")
    seen = served_by(cluster, SERVED_REQUESTS)
    expect(leaving not in seen, f"the drained target ran {seen[leaving]} reads")
    say(f"Drained {leaving} by version 3, in force after {seconds:.1f} s: it ran none of the "
        f"next {SERVED_REQUESTS} reads, all of which were served")


def run(net):
    """The whole demonstration in 127.NET; raises ClusterError where something fails."""
    with Cluster(net) as cluster:
        cluster.start_platform(DOMAINS)
        for number in range(6):
            domain = DOMAINS[number % len(DOMAINS)]
            cluster.add_host(f"{domain}-{number // len(DOMAINS) + 1}", domain, "rota")
        cluster.publish_hosts()
        cluster.publish(cluster.sheet(ROUTES), 1)
        cluster.start_hosts()
        seconds = cluster.wait_version(1)
        say(f"Started {len(cluster.hosts)} hosts (a node and a target each) in "
            f"{', '.join(DOMAINS)}; version 1 in force on all after {seconds:.1f} s")
        serve(cluster)
        second_version(cluster)
        drain(cluster)
        stats = cluster.platform_call("GET", "/stats")
        processes = list(cluster.processes)
        say(f"The platform was read {stats['calls']} times, at most "
            f"{stats['max_calls_in_one_second']} in one second")
    expect(all(p.poll() is not None for p in processes), "a process was left behind")
    say(f"All {len(processes)} processes have ended")


if __name__ == "__main__":
    try:
        run(int(sys.argv[1]) if len(sys.argv) > 1 else 31)
    except ClusterError as error:
        sys.exit(f"demo failed: {error}")

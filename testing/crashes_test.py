"""A request that crashes its target kills at most two targets; concurrent requests succeed."""
import collections
import concurrent.futures
import json
import threading
import time

from cluster import Cluster, ClusterError, kill, stop_gracefully, wait_until

TEST_NET = 73
HOSTS = 5
CRASH_EXIT_CODE = 77
NEIGHBOURS = 20
WORK_MS = 1000
SENDS = 6
RESEND_S = 0.2
PAGE_CALLERS = 20
PAGE_WORK_MS = 200
PAGE_PAUSE_S = 0.05
PAGE_CALM_S = 2.0
ROUTES = ["Rota,gwynedd,GET,/rota,rota,short,yes,urgent,15000",
          "Swap,gwynedd,POST,/swaps,rota,short,no,urgent,15000"]


resend_causes = []  # (outcome, reason) of each response that led to a resend


def expect(condition, text):
    if not condition:
        raise ClusterError(text)


def outcome_and_reason(answer):
    fields = {name.lower(): value for name, value in answer[1].items()}
    return fields.get("pomelohead-outcome"), fields.get("pomelohead-reason")


def hosts_with_crashed_target(cluster):
    return [h for h in cluster.hosts if h.target.poll() == CRASH_EXIT_CODE]


def restart_crashed_targets(cluster):
    for host in hosts_with_crashed_target(cluster):
        cluster.start_target(host)


def call_until_served(cluster, number, method, path, body, headers):
    """Sends a harmless request until it succeeds. Resends only where a caller may: after
    not-run, and a read after any outcome."""
    while True:
        answer = cluster.call(cluster.hosts[number % HOSTS], method, path, body, headers)
        if answer[0] == 200:
            return answer
        expect(outcome_and_reason(answer)[0] == "not-run" or method == "GET",
               f"{method} {path}: {outcome_and_reason(answer)}")
        resend_causes.append(outcome_and_reason(answer))
        time.sleep(RESEND_S)


def send_crashing_requests(cluster, method, path):
    """Sends the same crashing request through every entry node in turn; returns the outcomes."""
    outcomes = []
    for number in range(SENDS):
        entry = cluster.hosts[number % HOSTS]
        outcomes.append(outcome_and_reason(cluster.call(entry, method, path, b"" if method == "POST" else None,
                                            {"X-Crash": "1"})))
    return outcomes


def crashing_swap_kills_at_most_two_targets(cluster):
    outcomes = send_crashing_requests(cluster, "POST", "/swaps")
    killed = hosts_with_crashed_target(cluster)
    expect(len(killed) <= 2, f"{len(killed)} targets killed; outcomes: {outcomes}")
    expect(outcomes[0] == ("unknown", "target-crashed"), f"the first send: {outcomes}")
    expect(outcomes[-1] == ("not-run", "quarantined"), f"the last send: {outcomes}")
    restart_crashed_targets(cluster)
    call_until_served(cluster, 0, "POST", "/swaps", b"", {})
    return len(killed)


def crashing_read_spares_requests_in_flight(cluster):
    """The entry node retries the crashing read itself; requests in flight beside it succeed."""
    def neighbour(number):
        return call_until_served(cluster, number, "GET", f"/rota/{number}", None,
                      {"X-Work-Ms": str(WORK_MS), "Pomelohead-Request-Id": f"neighbour-{number}"})

    with concurrent.futures.ThreadPoolExecutor(NEIGHBOURS) as callers:
        waiting = [callers.submit(neighbour, number) for number in range(NEIGHBOURS)]
        wait_until(lambda: len({name for name, _ in cluster.runs()
                                if name.startswith("neighbour-")}) == NEIGHBOURS,
                   "all neighbours run")
        outcomes = send_crashing_requests(cluster, "GET", "/rota/guilty")
        killed = hosts_with_crashed_target(cluster)
        answers = [future.result() for future in waiting]
    expect(len(killed) <= 2, f"{len(killed)} targets killed; outcomes: {outcomes}")
    expect(all(outcome != "complete" for outcome, _ in outcomes), f"the crashing read: {outcomes}")
    for number, (status, _, body) in enumerate(answers):
        expect(status == 200 and json.loads(body)["request_id"] == f"neighbour-{number}",
               f"neighbour {number}: {status} {outcome_and_reason(answers[number])}")
    restart_crashed_targets(cluster)
    return len(killed)


def restarts_make_no_node_forget_the_crashing_read(cluster, killed_before):
    """The read is sent through all nodes after each restart; it still kills two targets at most."""
    killed = killed_before
    for host in cluster.hosts:
        stop_gracefully(host.node)
        cluster.start_node(host)
        cluster.wait_version(1, [host])
        outcomes = send_crashing_requests(cluster, "GET", "/rota/guilty")
        killed += len(hosts_with_crashed_target(cluster))
        expect(killed <= 2, f"{killed} targets killed, {killed_before} before the restarts, the last "
                            f"of {host.name}; outcomes: {outcomes}")
        restart_crashed_targets(cluster)
    return killed


def page_in_flight_on_ended_targets_comes_back(cluster):
    """Two targets end at once, not for what they ran. A page that all callers load was in flight on
    both, beside requests of their own; it must not stay refused, as nothing shows that it crashes."""
    stop = threading.Event()
    loaded_at = []

    def load(number, path):
        sent = 0
        while not stop.is_set():
            sent += 1
            answer = cluster.call(cluster.hosts[number % HOSTS], "GET", path or f"/rota/own-{number}-{sent}",
                                  None, {"X-Work-Ms": str(PAGE_WORK_MS)})
            if path and answer[0] == 200:
                loaded_at.append(time.monotonic())
            time.sleep(PAGE_PAUSE_S)

    ended = cluster.hosts[:2]
    with concurrent.futures.ThreadPoolExecutor(PAGE_CALLERS + NEIGHBOURS) as callers:
        waiting = [callers.submit(load, number, "/rota/tonight") for number in range(PAGE_CALLERS)]
        waiting += [callers.submit(load, number, None) for number in range(NEIGHBOURS)]
        try:
            time.sleep(PAGE_CALM_S)
            loaded_before = len(loaded_at)
            for host in ended:
                kill(host.target)
            time.sleep(PAGE_CALM_S)
            for host in ended:
                cluster.start_target(host)
            time.sleep(PAGE_CALM_S)
            back_at = time.monotonic()
            time.sleep(PAGE_CALM_S)
        finally:
            stop.set()
        for future in waiting:
            future.result()
    loaded_after = sum(1 for moment in loaded_at if moment >= back_at)
    expect(loaded_before > 0 and loaded_after > loaded_before / 4,
           f"the page was loaded {loaded_before} times before the targets ended, then {loaded_after}")
    return loaded_before, loaded_after


def release_from_quarantine(cluster):
    host = next(h for h in cluster.hosts if any(
        entry["verdict"] == "refuse" for entry in cluster.admin(h, "/quarantine")))
    for entry in cluster.admin(host, "/quarantine"):
        answer = cluster.admin(host, f"/quarantine/release?fingerprint={entry['fingerprint']}",
                               "POST")
        expect(answer["released"], f"quarantine release: {answer}")
    wait_until(lambda: not any(cluster.admin(h, "/quarantine") for h in cluster.hosts),
               "all nodes have dropped the quarantine entries")


def main():
    with Cluster(TEST_NET) as cluster:
        cluster.start_platform(["bala"])
        for number in range(HOSTS):
            cluster.add_host(f"bala-{number}", "bala", "rota")
        cluster.publish_hosts()
        cluster.publish(cluster.sheet(ROUTES), 1)
        cluster.start_hosts()
        cluster.wait_version(1)
        print(f"swap: {crashing_swap_kills_at_most_two_targets(cluster)} targets killed by {SENDS} sends", flush=True)
        killed = crashing_read_spares_requests_in_flight(cluster)
        print(f"read: {killed} targets killed by {SENDS} sends, "
              f"{NEIGHBOURS} neighbours answered", flush=True)
        print(f"sent again by callers: {collections.Counter(resend_causes)}", flush=True)
        print(f"read: {restarts_make_no_node_forget_the_crashing_read(cluster, killed)} targets killed "
              "after the restart of each node", flush=True)
        before, after = page_in_flight_on_ended_targets_comes_back(cluster)
        print(f"page: loaded {before} times before two targets ended, {after} times after", flush=True)
        release_from_quarantine(cluster)
        print("quarantine released on all nodes", flush=True)


if __name__ == "__main__":
    main()

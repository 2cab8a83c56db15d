"""A request that crashes targets: at most two of them, and its neighbours are served."""
import collections
import concurrent.futures
import json
import time

from cluster import Cluster, ClusterError, wait_until

TEST_NET = 73
HOSTS = 5
CRASH_EXIT_CODE = 77
NEIGHBOURS = 20
WORK_MS = 1000
SENDS = 6
RESEND_S = 0.2
ROUTES = ["Rota,gwynedd,GET,/rota,rota,short,yes,urgent,15000",
          "Swap,gwynedd,POST,/swaps,rota,short,no,urgent,15000"]


resent = []  # what callers were told before they sent again


def expect(condition, text):
    if not condition:
        raise ClusterError(text)


def conclusion(answer):
    fields = {name.lower(): value for name, value in answer[1].items()}
    return fields.get("pomelohead-outcome"), fields.get("pomelohead-reason")


def crashed(cluster):
    return [h for h in cluster.hosts if h.target.poll() == CRASH_EXIT_CODE]


def revive(cluster):
    for host in crashed(cluster):
        cluster.start_target(host)


def served(cluster, number, method, path, body, headers):
    """The answer to an innocent request, sent again where its caller may: what was not run,
    and a read in any case."""
    while True:
        answer = cluster.call(cluster.hosts[number % HOSTS], method, path, body, headers)
        if answer[0] == 200:
            return answer
        expect(conclusion(answer)[0] == "not-run" or method == "GET",
               f"{method} {path}: {conclusion(answer)}")
        resent.append(conclusion(answer))
        time.sleep(RESEND_S)


def send_again_and_again(cluster, method, path):
    """Sends one crashing request through every entry in turn; what each was told."""
    told = []
    for number in range(SENDS):
        entry = cluster.hosts[number % HOSTS]
        told.append(conclusion(cluster.call(entry, method, path, b"" if method == "POST" else None,
                                            {"X-Crash": "1"})))
    return told


def a_swap_that_crashes(cluster):
    told = send_again_and_again(cluster, "POST", "/swaps")
    dead = crashed(cluster)
    expect(len(dead) <= 2, f"{len(dead)} targets killed; told {told}")
    expect(told[0] == ("unknown", "target-crashed"), f"the first send: {told}")
    expect(told[-1] == ("not-run", "quarantined"), f"the last send: {told}")
    revive(cluster)
    served(cluster, 0, "POST", "/swaps", b"", {})
    return len(dead)


def a_read_that_crashes_among_others(cluster):
    """The entry itself sends a read again; the neighbours in flight are served."""
    def neighbour(number):
        return served(cluster, number, "GET", f"/rota/{number}", None,
                      {"X-Work-Ms": str(WORK_MS), "Pomelohead-Request-Id": f"neighbour-{number}"})

    with concurrent.futures.ThreadPoolExecutor(NEIGHBOURS) as callers:
        waiting = [callers.submit(neighbour, number) for number in range(NEIGHBOURS)]
        wait_until(lambda: len({name for name, _ in cluster.runs()
                                if name.startswith("neighbour-")}) == NEIGHBOURS,
                   "all neighbours run")
        told = send_again_and_again(cluster, "GET", "/rota/guilty")
        dead = crashed(cluster)
        answers = [future.result() for future in waiting]
    expect(len(dead) <= 2, f"{len(dead)} targets killed; told {told}")
    expect(all(outcome != "complete" for outcome, _ in told), f"the crashing read: {told}")
    for number, (status, _, body) in enumerate(answers):
        expect(status == 200 and json.loads(body)["request_id"] == f"neighbour-{number}",
               f"neighbour {number}: {status} {conclusion(answers[number])}")
    revive(cluster)
    return len(dead)


def release(cluster):
    host = next(h for h in cluster.hosts if any(
        entry["verdict"] == "refuse" for entry in cluster.admin(h, "/quarantine")))
    for entry in cluster.admin(host, "/quarantine"):
        answer = cluster.admin(host, f"/quarantine/release?fingerprint={entry['fingerprint']}",
                               "POST")
        expect(answer["released"], f"release: {answer}")
    wait_until(lambda: not any(cluster.admin(h, "/quarantine") for h in cluster.hosts),
               "the release is known everywhere")


def main():
    with Cluster(TEST_NET) as cluster:
        cluster.start_platform(["bala"])
        for number in range(HOSTS):
            cluster.add_host(f"bala-{number}", "bala", "rota")
        cluster.publish_hosts()
        cluster.publish(cluster.sheet(ROUTES), 1)
        cluster.start_hosts()
        cluster.wait_version(1)
        print(f"swap: {a_swap_that_crashes(cluster)} targets killed by {SENDS} sends", flush=True)
        print(f"read: {a_read_that_crashes_among_others(cluster)} targets killed by {SENDS} sends, "
              f"{NEIGHBOURS} neighbours answered", flush=True)
        print(f"sent again by callers: {collections.Counter(resent)}", flush=True)
        release(cluster)
        print("release: as promised", flush=True)


if __name__ == "__main__":
    main()

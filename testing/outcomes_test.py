"""Killed and frozen processes: a request runs at most once, reported outcomes are correct,
and a ticket prevents a second run."""
import json
import threading

from cluster import (TARGET_PORT, Cluster, ClusterError, freeze, http_call, kill, thaw,
                     wait_until)

TEST_NET = 71
WORK_MS = 3000
ROUTES = ["Rota,gwynedd,GET,/rota,rota,short,yes,urgent,8000",
          "Swap,gwynedd,POST,/swaps,rota,short,no,urgent,20000"]


def expect(condition, text):
    if not condition:
        raise ClusterError(text)


def status_and_outcome(answer):
    """(status, outcome, reason) of an answer."""
    status, headers, _ = answer
    fields = {name.lower(): value for name, value in headers.items()}
    return status, fields.get("pomelohead-outcome"), fields.get("pomelohead-reason")


def count_runs(cluster, request_id):
    return [name for name, _ in cluster.runs()].count(request_id)


class Sender(threading.Thread):
    """Sends a request in a thread; `response` stays None if the connection breaks."""

    def __init__(self, cluster, host, headers, path="/swaps", method="POST"):
        super().__init__(daemon=True)
        self.send = lambda: cluster.call(host, method, path, b"round=7", headers)
        self.response = None
        self.start()

    def run(self):
        try:
            self.response = self.send()
        except (OSError, ValueError):
            pass
        except Exception as error:  # http.client errors: the response was cut short
            if type(error).__module__ != "http.client":
                raise

    def answer(self):
        self.join()
        return self.response


def get_ticket(cluster, entry):
    """Returns a ticket for a swap and the owner host that the ticket names."""
    status, _, body = cluster.call(entry, "POST",
                                   "/.pomelohead/ticket?path=/swaps&method=POST", b"")
    expect(status == 200, f"no ticket: {status} {body!r}")
    text = body.decode().strip()
    owner = next(h for h in cluster.hosts if h.address == text.split("/")[1])
    return text, owner


def host_other_than(cluster, *hosts):
    return next(h for h in cluster.hosts if h not in hosts)


def restart_node(cluster, host):
    cluster.start_node(host)
    cluster.wait_version(1, [host])


def wait_all_members_alive(cluster):
    """Waits until each node reports every other node alive."""
    for host in cluster.hosts:
        wait_until(lambda h=host: sum(m["state"] == "alive" for m in
                                      cluster.admin(h, "/status")["members"])
                   >= len(cluster.hosts) - 1, f"{host.name} sees the others")


def start_swap(cluster, name, entry, ticket=None):
    """Sends a swap and waits until it runs."""
    headers = {"Pomelohead-Request-Id": name, "X-Work-Ms": str(WORK_MS)}
    if ticket:
        headers["Pomelohead-Ticket"] = ticket
    sender = Sender(cluster, entry, headers)
    wait_until(lambda: count_runs(cluster, name) == 1, f"{name} runs")
    return sender, headers


def resend_returns_stored_response(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    headers = {"Pomelohead-Request-Id": "replay", "Pomelohead-Ticket": ticket}
    first = cluster.call(cluster.hosts[0], "POST", "/swaps", b"round=7", headers)
    expect(json.loads(first[2])["target"] == owner.name, "the ticket's owner did not run it")
    for host in cluster.hosts:
        again = cluster.call(host, "POST", "/swaps", b"round=7", headers)
        expect(again[0] == 200 and again[2] == first[2], f"replay: {again}")
    other = cluster.call(cluster.hosts[0], "POST", "/swaps", b"round=8", headers)
    expect(status_and_outcome(other) == (409, "unknown", "ticket-reused"), f"other content: {other}")
    no_route = cluster.call(cluster.hosts[0], "POST", "/nowhere", b"round=7", headers)
    expect(status_and_outcome(no_route)[1] == "unknown", f"a ticket without a route: {no_route}")
    expect(count_runs(cluster, "replay") == 1, "a resend ran again")


def entry_killed_after_handover(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    entry = host_other_than(cluster, owner)
    sender, headers = start_swap(cluster, "entry-dies", entry, ticket)
    kill(entry.node)
    expect(sender.answer() is None, "a killed entry node responded")
    again = cluster.call(host_other_than(cluster, entry, owner), "POST", "/swaps", b"round=7", headers)
    expect(status_and_outcome(again)[:2] == (200, "complete"), f"after the entry's death: {again}")
    expect(count_runs(cluster, "entry-dies") == 1, "entry-dies ran twice")
    restart_node(cluster, entry)


def owner_killed_after_handover(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    entry = host_other_than(cluster, owner)
    sender, headers = start_swap(cluster, "owner-dies", entry, ticket)
    kill(owner.node)
    expect(status_and_outcome(sender.answer())[1] == "unknown", "outcome is not unknown after the owner was killed")
    restart_node(cluster, owner)
    for host in cluster.hosts:
        again = cluster.call(host, "POST", "/swaps", b"round=7", headers)
        expect(status_and_outcome(again)[1] == "unknown", f"a dead owner's ticket: {again}")
    expect(count_runs(cluster, "owner-dies") == 1, "owner-dies ran twice")


def owner_killed_during_swap_without_ticket(cluster):
    for number in range(len(cluster.hosts)):
        name = f"plain-{number}"
        entry = cluster.hosts[number]
        sender, _ = start_swap(cluster, name, entry)
        running = [h for h in cluster.hosts if name in
                   json.loads(http_call(h.address, TARGET_PORT, "GET", "/standin/runs")[2])]
        owner = running[0]
        kill(owner.node)
        answer = sender.answer()
        expect(answer is None if owner is entry else status_and_outcome(answer)[1] == "unknown",
               f"{name}: {answer}")
        restart_node(cluster, owner)
        wait_all_members_alive(cluster)
        expect(count_runs(cluster, name) == 1, f"{name} ran twice")


def target_killed_during_run(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    sender, headers = start_swap(cluster, "target-dies", host_other_than(cluster, owner), ticket)
    kill(owner.target)
    expect(status_and_outcome(sender.answer())[1] == "unknown", "outcome is not unknown after the target was killed")
    cluster.start_target(owner)
    again = cluster.call(owner, "POST", "/swaps", b"round=7", headers)
    expect(status_and_outcome(again)[1] == "unknown", f"after the target's death: {again}")
    expect(count_runs(cluster, "target-dies") == 1, "target-dies ran twice")


def owner_frozen_past_the_deadline(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    entry = host_other_than(cluster, owner)
    headers = {"Pomelohead-Request-Id": "frozen", "Pomelohead-Ticket": ticket,
               "Pomelohead-Deadline-Ms": "1000"}
    freeze(owner.node)
    try:
        answer = cluster.call(entry, "POST", "/swaps", b"round=7", headers)
    finally:
        thaw(owner.node)
    expect(status_and_outcome(answer)[1] == "unknown", f"a frozen owner: {answer}")
    wait_until(lambda: cluster.admin(owner, "/status")["version"] == 1, "the owner is back")
    headers["Pomelohead-Deadline-Ms"] = "10000"
    again = cluster.call(owner, "POST", "/swaps", b"round=7", headers)
    runs = count_runs(cluster, "frozen")
    expect(runs <= 1, "the resumed owner ran it twice")
    expect(status_and_outcome(again)[1] != "not-run" or runs == 0, f"a false not-run: {again}")


def request_without_live_targets_is_not_run(cluster):
    for host in cluster.hosts:
        kill(host.target)
    answer = cluster.call(cluster.hosts[0], "POST", "/swaps", b"round=7",
                          {"Pomelohead-Request-Id": "no-target"})
    expect(status_and_outcome(answer)[:2] == (503, "not-run"), f"without targets: {answer}")
    expect(count_runs(cluster, "no-target") == 0, "no-target ran")


def main():
    with Cluster(TEST_NET) as cluster:
        cluster.start_platform(["bala"])
        for number in range(3):
            cluster.add_host(f"bala-{number}", "bala", "rota")
        cluster.publish_hosts()
        cluster.publish(cluster.sheet(ROUTES), 1)
        cluster.start_hosts()
        cluster.wait_version(1)
        for step in (resend_returns_stored_response, entry_killed_after_handover,
                     owner_killed_after_handover, owner_killed_during_swap_without_ticket,
                     target_killed_during_run, owner_frozen_past_the_deadline,
                     request_without_live_targets_is_not_run):
            wait_all_members_alive(cluster)
            step(cluster)
            print(f"{step.__name__}: passed", flush=True)


if __name__ == "__main__":
    main()

"""Killed and frozen processes: at most one run, true outcomes, tickets that hold."""
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


def conclusion(answer):
    """(status, outcome, reason) of an answer."""
    status, headers, _ = answer
    fields = {name.lower(): value for name, value in headers.items()}
    return status, fields.get("pomelohead-outcome"), fields.get("pomelohead-reason")


def count_runs(cluster, request_id):
    return [name for name, _ in cluster.runs()].count(request_id)


class Sender(threading.Thread):
    """A caller's request in the background; `m_answer` is None where it was cut."""

    def __init__(self, cluster, host, headers, path="/swaps", method="POST"):
        super().__init__(daemon=True)
        self.m_call = lambda: cluster.call(host, method, path, b"round=7", headers)
        self.m_answer = None
        self.start()

    def run(self):
        try:
            self.m_answer = self.m_call()
        except (OSError, ValueError):
            pass
        except Exception as error:  # http.client's own errors: the answer was cut
            if type(error).__module__ != "http.client":
                raise

    def answer(self):
        self.join()
        return self.m_answer


def get_ticket(cluster, entry):
    """A ticket for a swap, and the host that it names."""
    status, _, body = cluster.call(entry, "POST",
                                   "/.pomelohead/ticket?path=/swaps&method=POST", b"")
    expect(status == 200, f"no ticket: {status} {body!r}")
    text = body.decode().strip()
    owner = next(h for h in cluster.hosts if h.address == text.split("/")[1])
    return text, owner


def other_than(cluster, *hosts):
    return next(h for h in cluster.hosts if h not in hosts)


def restart_node(cluster, host):
    cluster.start_node(host)
    cluster.wait_version(1, [host])


def wait_all_known(cluster):
    """Until each node sees every other alive."""
    for host in cluster.hosts:
        wait_until(lambda h=host: sum(m["state"] == "alive" for m in
                                      cluster.admin(h, "/status")["members"])
                   >= len(cluster.hosts) - 1, f"{host.name} sees the others")


def begin_swap(cluster, name, entry, ticket=None):
    """Sends a swap and waits until it runs."""
    headers = {"Pomelohead-Request-Id": name, "X-Work-Ms": str(WORK_MS)}
    if ticket:
        headers["Pomelohead-Ticket"] = ticket
    sender = Sender(cluster, entry, headers)
    wait_until(lambda: count_runs(cluster, name) == 1, f"{name} runs")
    return sender, headers


def resend_gets_the_same_answer(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    headers = {"Pomelohead-Request-Id": "replay", "Pomelohead-Ticket": ticket}
    first = cluster.call(cluster.hosts[0], "POST", "/swaps", b"round=7", headers)
    expect(json.loads(first[2])["target"] == owner.name, "the ticket's owner did not run it")
    for host in cluster.hosts:
        again = cluster.call(host, "POST", "/swaps", b"round=7", headers)
        expect(again[0] == 200 and again[2] == first[2], f"replay: {again}")
    other = cluster.call(cluster.hosts[0], "POST", "/swaps", b"round=8", headers)
    expect(conclusion(other) == (409, "unknown", "ticket-reused"), f"other content: {other}")
    no_route = cluster.call(cluster.hosts[0], "POST", "/nowhere", b"round=7", headers)
    expect(conclusion(no_route)[1] == "unknown", f"a ticket without a route: {no_route}")
    expect(count_runs(cluster, "replay") == 1, "a resend ran")


def entry_dies_after_the_hand_over(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    entry = other_than(cluster, owner)
    sender, headers = begin_swap(cluster, "entry-dies", entry, ticket)
    kill(entry.node)
    expect(sender.answer() is None, "a dead entry answered")
    again = cluster.call(other_than(cluster, entry, owner), "POST", "/swaps", b"round=7", headers)
    expect(conclusion(again)[:2] == (200, "complete"), f"after the entry's death: {again}")
    expect(count_runs(cluster, "entry-dies") == 1, "entry-dies ran twice")
    restart_node(cluster, entry)


def owner_dies_after_the_hand_over(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    entry = other_than(cluster, owner)
    sender, headers = begin_swap(cluster, "owner-dies", entry, ticket)
    kill(owner.node)
    expect(conclusion(sender.answer())[1] == "unknown", "the owner's death is no doubt")
    restart_node(cluster, owner)
    for host in cluster.hosts:
        again = cluster.call(host, "POST", "/swaps", b"round=7", headers)
        expect(conclusion(again)[1] == "unknown", f"a dead owner's ticket: {again}")
    expect(count_runs(cluster, "owner-dies") == 1, "owner-dies ran twice")


def owner_dies_with_a_plain_swap(cluster):
    for number in range(len(cluster.hosts)):
        name = f"plain-{number}"
        entry = cluster.hosts[number]
        sender, _ = begin_swap(cluster, name, entry)
        running = [h for h in cluster.hosts if name in
                   json.loads(http_call(h.address, TARGET_PORT, "GET", "/standin/runs")[2])]
        owner = running[0]
        kill(owner.node)
        answer = sender.answer()
        expect(answer is None if owner is entry else conclusion(answer)[1] == "unknown",
               f"{name}: {answer}")
        restart_node(cluster, owner)
        wait_all_known(cluster)
        expect(count_runs(cluster, name) == 1, f"{name} ran twice")


def target_dies_in_the_middle(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    sender, headers = begin_swap(cluster, "target-dies", other_than(cluster, owner), ticket)
    kill(owner.target)
    expect(conclusion(sender.answer())[1] == "unknown", "the target's death is no doubt")
    cluster.start_target(owner)
    again = cluster.call(owner, "POST", "/swaps", b"round=7", headers)
    expect(conclusion(again)[1] == "unknown", f"after the target's death: {again}")
    expect(count_runs(cluster, "target-dies") == 1, "target-dies ran twice")


def owner_frozen_past_the_deadline(cluster):
    ticket, owner = get_ticket(cluster, cluster.hosts[0])
    entry = other_than(cluster, owner)
    headers = {"Pomelohead-Request-Id": "frozen", "Pomelohead-Ticket": ticket,
               "Pomelohead-Deadline-Ms": "1000"}
    freeze(owner.node)
    try:
        answer = cluster.call(entry, "POST", "/swaps", b"round=7", headers)
    finally:
        thaw(owner.node)
    expect(conclusion(answer)[1] == "unknown", f"a frozen owner: {answer}")
    wait_until(lambda: cluster.admin(owner, "/status")["version"] == 1, "the owner is back")
    headers["Pomelohead-Deadline-Ms"] = "10000"
    again = cluster.call(owner, "POST", "/swaps", b"round=7", headers)
    runs = count_runs(cluster, "frozen")
    expect(runs <= 1, "a late wake ran it twice")
    expect(conclusion(again)[1] != "not-run" or runs == 0, f"a false not-run: {again}")


def nothing_runs_without_targets(cluster):
    for host in cluster.hosts:
        kill(host.target)
    answer = cluster.call(cluster.hosts[0], "POST", "/swaps", b"round=7",
                          {"Pomelohead-Request-Id": "no-target"})
    expect(conclusion(answer)[:2] == (503, "not-run"), f"without targets: {answer}")
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
        for step in (resend_gets_the_same_answer, entry_dies_after_the_hand_over,
                     owner_dies_after_the_hand_over, owner_dies_with_a_plain_swap,
                     target_dies_in_the_middle, owner_frozen_past_the_deadline,
                     nothing_runs_without_targets):
            wait_all_known(cluster)
            step(cluster)
            print(f"{step.__name__}: as promised", flush=True)


if __name__ == "__main__":
    main()

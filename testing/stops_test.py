"""Planned stops and drains interrupt no upload and send no new request to a leaving target."""
import concurrent.futures
import http.client
import json
import time

from cluster import (ADMIN_PORT, CALLER_PORT, TARGET_PORT, Cluster, ClusterError, http_call, wait_until)

TEST_NET = 72
UPLOAD_BYTES = 6_000_000
FIRST_BYTES = 4_000_000
READS = 24  # more than the slots of two targets
WORK_MS = 200
RESEND_S = 0.2
HOST_LIST_LIMIT_S = 90  # only bounds a hang; the host list arrives within seconds
CALL_LIMIT_S = 60
STOP_LIMIT_S = 30
ROUTES = ["Rota,gwynedd,GET,/rota,rota,short,yes,urgent,8000",
          "Photo,gwynedd,PUT,/photos,rota,long,no,deferrable,600000"]


def expect(condition, text):
    if not condition:
        raise ClusterError(text)


def refuses_connections(address):
    connection = http.client.HTTPConnection(address, CALLER_PORT, timeout=2)
    try:
        connection.connect()
        return False
    except ConnectionRefusedError:
        return True
    finally:
        connection.close()


class Upload:
    """An upload that sends its last part only on finish()."""

    def __init__(self, cluster, entry, name):
        self.connection = http.client.HTTPConnection(entry.address, CALLER_PORT,
                                                       timeout=CALL_LIMIT_S)
        self.connection.putrequest("PUT", "/photos/1")
        self.connection.putheader("Content-Length", str(UPLOAD_BYTES))
        self.connection.putheader("Pomelohead-Request-Id", name)
        self.connection.endheaders()
        self.connection.send(b"p" * FIRST_BYTES)
        wait_until(lambda: name in [run for run, _ in cluster.runs()], f"{name} runs")

    def finish(self):
        self.connection.send(b"p" * (UPLOAD_BYTES - FIRST_BYTES))
        answer = self.connection.getresponse()
        body = answer.read()
        expect(answer.status == 200 and json.loads(body)["bytes"] == UPLOAD_BYTES,
               f"the upload was cut: {answer.status} {body[:200]!r}")
        self.connection.close()


def host_running(cluster, name):
    """The host whose target is running the request."""
    return next(h for h in cluster.hosts if name in
                json.loads(http_call(h.address, TARGET_PORT, "GET", "/standin/runs")[2]))


def stop_during_upload(cluster, name, choose):
    """Stops the node on the host `choose(entry, owner)` during an upload."""
    entry = cluster.hosts[0]
    upload = Upload(cluster, entry, name)
    stopped = choose(entry, host_running(cluster, name))
    stopped.node.terminate()
    wait_until(lambda: refuses_connections(stopped.address), "the listener is closed")
    expect(stopped.node.poll() is None, f"{name}: the node exited during the upload")
    upload.finish()
    expect(stopped.node.wait(STOP_LIMIT_S) == 0, f"{name}: exit code {stopped.node.returncode}")
    cluster.start_node(stopped)
    cluster.wait_version(1, [stopped])


def stopping_node_closes_caller_connections(cluster):
    entry = cluster.hosts[1]
    entry.node.terminate()
    wait_until(lambda: cluster.admin(entry, "/status")["draining"], "the node reports draining")
    before = len(cluster.runs())
    status, headers, body = cluster.call(entry, "GET", "/rota")
    expect(status == 200 and headers.get("Connection") == "close",
           f"a stopping node's answer: {status} {headers}")
    expect(json.loads(body)["target"] != entry.name, "new work at the stopping node's target")
    expect(len(cluster.runs()) == before + 1, "one read, one run")
    expect(entry.node.wait(STOP_LIMIT_S) == 0, "the stopped node's exit code")
    cluster.start_node(entry)
    cluster.wait_version(1, [entry])


def targets_serving_reads(cluster):
    """The targets that serve a burst of reads larger than the slots of two targets."""
    def read(number):
        entry = cluster.hosts[number % len(cluster.hosts)]
        while True:
            status, headers, body = cluster.call(entry, "GET", "/rota",
                                                 headers={"X-Work-Ms": str(WORK_MS)})
            if status == 200:
                return json.loads(body)["target"]
            # not-run permits a resend; any other failure is an error.
            expect(headers.get("Pomelohead-Outcome") == "not-run", f"a read: {status} {headers}")
            time.sleep(RESEND_S)

    with concurrent.futures.ThreadPoolExecutor(READS) as callers:
        return set(callers.map(read, range(READS)))


def expect_drained(cluster, leaving, source, limit_s):
    wait_until(lambda: leaving.name not in targets_serving_reads(cluster), f"drained by {source}", limit_s)
    expect(leaving.name not in targets_serving_reads(cluster), f"new work after the drain by {source}")
    print(f"drained by {source}: no new work", flush=True)


def expect_undrained(cluster, leaving, source):
    wait_until(lambda: leaving.name in targets_serving_reads(cluster), f"back from the drain by {source}")


def every_drain_source_takes_effect(cluster):
    leaving = cluster.hosts[2]
    http_call(leaving.address, ADMIN_PORT, "POST", "/drain")
    expect_drained(cluster, leaving, "owner", STOP_LIMIT_S)
    http_call(leaving.address, ADMIN_PORT, "POST", "/resume")
    expect_undrained(cluster, leaving, "owner")
    cluster.publish(cluster.sheet(ROUTES, drains=[leaving.name]), 2)
    expect_drained(cluster, leaving, "configuration", STOP_LIMIT_S)
    cluster.publish(cluster.sheet(ROUTES), 3)
    expect_undrained(cluster, leaving, "configuration")
    cluster.publish_hosts(leaving=[leaving.name])
    expect_drained(cluster, leaving, "host list", HOST_LIST_LIMIT_S)


def main():
    with Cluster(TEST_NET, policy={"lame_duck_s": 2}) as cluster:
        cluster.start_platform(["bala"])
        for number in range(3):
            cluster.add_host(f"bala-{number}", "bala", "rota")
        cluster.publish_hosts()
        cluster.publish(cluster.sheet(ROUTES), 1)
        cluster.start_hosts()
        cluster.wait_version(1)
        for name, choose in (("entry-stops", lambda entry, owner: entry),
                             ("owner-stops", lambda entry, owner: owner)):
            stop_during_upload(cluster, name, choose)
            print(f"{name}: not cut", flush=True)
        for step in (stopping_node_closes_caller_connections, every_drain_source_takes_effect):
            step(cluster)
            print(f"{step.__name__}: passed", flush=True)


if __name__ == "__main__":
    main()

"""A client names Content-Length in its Connection header, and its body is run as a request.

One node with a back end that serves the route /public/. Ten times a client posts a body that
has the form of a request for a path without a route, then other clients send reads.
"""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
from backend import Backend  # noqa: E402
from mesh import call, run_case, trouble_wanted  # noqa: E402

ROUNDS = 10
READERS = 4


def inner_request(number):
    """A body that has the form of a request between two nodes."""
    return (f"POST /private/erase HTTP/1.1\r\nHost: mesh.example\r\n"
            f"Pomelohead-Target: i-1\r\nPomelohead-Request-Id: inner-{number}\r\n"
            f"Pomelohead-Deadline-Ms: 900\r\nPomelohead-Caller-Service: another\r\n"
            f"Content-Length: 0\r\n\r\n").encode()


def case(mesh, record):
    mesh.add_service("svc")
    mesh.add_route("writes", "/public/", "unsafe", "svc", 1000)
    mesh.add_route("reads", "/reads/", "safe", "svc", 1000)
    mesh.start_store()
    node = mesh.start_node(1, "svc")
    backend = Backend(node.app(), "i-1", record, work_s=0.05)
    mesh.register("i-1", node.app(), "svc")
    mesh.wait_ready()
    sent, foreign = set(), []

    def request(method, path, identity, body=b"", headers=()):
        sent.add(identity)
        record.line(f"client sends {method} {path} id={identity} {dict(headers)} "
                    f"{len(body)} bytes")
        status, _, answer = call(node.outbound(), method, path, identity, body, headers)
        record.line(f"client of {identity} gets {status} {answer[:80]!r}")
        if status == 200 and f" {identity} ".encode() not in answer:
            foreign.append(identity)

    for number in range(ROUNDS):
        headers = [("Connection", "close, Content-Length")] if trouble_wanted() else \
                  [("Connection", "close")]
        request("POST", "/public/1", f"post-{number}", inner_request(number), headers)
        readers = [threading.Thread(target=request, args=("GET", "/reads/1", f"get-{number}-{i}"))
                   for i in range(READERS)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        time.sleep(0.1)
    smuggled = [run for run in backend.runs if run.identity not in sent]
    for run in smuggled:
        record.line(f"no client sent {run.method} {run.path} id={run.identity} caller="
                    f"{run.field('Pomelohead-Caller-Service')}")
    record.line(f"{len(sent)} requests sent, {len(backend.runs)} run, {len(smuggled)} that no "
                f"client sent, {len(foreign)} answers of other requests: {foreign}")
    return bool(smuggled or foreign)


run_case(FOLDER, case)

"""A machine is stopped by SIGTERM while requests queue for its back end.

One node with one back end of 64 slots. 576 clients send a request each at the same time, so that
all slots are taken and the others queue. Then the node gets SIGTERM, as for a planned stop.
"""
import http.client
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
from backend import Backend  # noqa: E402
from mesh import HOST, run_case, trouble_wanted  # noqa: E402

SLOTS = 64
CLIENTS = 9 * SLOTS
WORK_S = 0.4
ROUTE_MS = 6000


def case(mesh, record):
    mesh.add_service("svc")
    mesh.add_route("writes", "/write/", "unsafe", "svc", ROUTE_MS)
    mesh.start_store()
    node = mesh.start_node(1, "svc")
    backend = Backend(node.app(), "i-1", record, work_s=WORK_S)
    mesh.register("i-1", node.app(), "svc", slots=SLOTS)
    mesh.wait_ready()
    unanswered = []
    statuses = {}

    def client(identity, connection):
        try:
            connection.request("POST", "/write/1", b"w", {
                "Host": HOST, "Pomelohead-Attempt-Id": identity,
                "Pomelohead-Deadline-Ms": str(ROUTE_MS)})
            answer = connection.getresponse()
            answer.read()
            record.line(f"client of {identity} gets {answer.status}")
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        except (OSError, http.client.HTTPException) as error:
            record.line(f"client of {identity}: no answer, {error!r}")
            unanswered.append(identity)

    def connect():
        connection = http.client.HTTPConnection(*node.outbound(), timeout=10)
        connection.connect()
        return connection

    # The node learns how long requests take.
    for number in range(5):
        client(f"first-{number}", connect())
    connections = [connect() for _ in range(CLIENTS)]
    threads = [threading.Thread(target=client, args=(f"write-{i}", c))
               for i, c in enumerate(connections)]
    for thread in threads:
        thread.start()
    time.sleep(WORK_S / 2)
    if trouble_wanted():
        record.line("SIGTERM")
        node.process.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    ended = node.has_ended()
    ran = {run.identity for run in backend.runs}
    lost = [identity for identity in unanswered if identity in ran]
    record.line(f"statuses {statuses}; {len(unanswered)} without an answer, {len(lost)} of them had "
                f"been passed on; the node's process "
                f"{'has ended, status ' + str(node.process.returncode) if ended else 'runs'}")
    return bool(lost)


run_case(FOLDER, case)

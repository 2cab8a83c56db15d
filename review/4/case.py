"""Two waiting watches are cut while a back end leaves that never reports draining.

Two nodes with a back end each, of one service. The store is up and answers every call; it cuts one
watch that waits, and another one a second later. In between the entry of the first back end is
removed. That back end goes on serving for drainMs and a second, as those do that never report
draining, and then exits.
"""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
from backend import Backend  # noqa: E402
from mesh import call, run_case, trouble_wanted  # noqa: E402

DRAIN_S = 2.0
EXITS_AFTER_S = 3.0
PLAYS_ON_S = 6.0
WORK_S = 0.1
CLIENTS = 8


def case(mesh, record):
    mesh.add_service("svc")
    mesh.add_route("writes", "/write/", "unsafe", "svc", 1000)
    mesh.start_store()
    reached, failed = [], []
    backends = {}

    def note(backend, connection, request):
        if backend.instance == "i-1":
            reached.append((time.monotonic(), request.identity))
        return False

    for number in (1, 2):
        node = mesh.start_node(number, "svc")
        backends[number] = Backend(node.app(), f"i-{number}", record, work_s=WORK_S,
                                   on_request=note)
        mesh.register(f"i-{number}", node.app(), "svc")
    mesh.wait_ready()
    stopped = threading.Event()

    def client(number):
        turn = 0
        while not stopped.wait(0.02):
            turn += 1
            identity = f"write-{number}-{turn}"
            status, _, _ = call(mesh.nodes[number % 2 + 1].outbound(), "POST", "/write/1",
                                identity, b"w")
            record.line(f"client of {identity} gets {status}")
            if status != 200:
                failed.append(identity)

    def cut():
        if trouble_wanted():
            mesh.store.cut_watch()
            record.line("the store has cut a watch that waited")

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    cut()
    time.sleep(0.3)
    mesh.deregister("i-1")
    acknowledged = time.monotonic()
    record.line("the entry of i-1 is removed")
    time.sleep(0.7)
    cut()
    time.sleep(max(0, acknowledged + EXITS_AFTER_S - time.monotonic()))
    record.line("i-1 exits")
    backends[1].exit()
    time.sleep(max(0, acknowledged + PLAYS_ON_S - time.monotonic()))
    stopped.set()
    for thread in threads:
        thread.join()
    late = [at - acknowledged for at, _ in reached if at > acknowledged + DRAIN_S]
    lost = [identity for _, identity in reached if identity in failed]
    record.line(f"{len(reached)} requests reached i-1, {len(late)} of them later than "
                f"{DRAIN_S} s after the removal, the last after {max(late, default=0):.2f} s; "
                f"{len(lost)} were lost when it exited")
    return bool(late)


run_case(FOLDER, case)

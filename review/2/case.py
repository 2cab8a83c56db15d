"""A faulty back end sends bytes that are no answer, without end, in the body of an answer.

Two nodes. Beside node 1 runs the faulty back end, beside node 2 a sound one of another service.
Twelve clients of node 1 keep their connections and have requests at work at the sound back end when
one read goes to the faulty one. Its answer is chunked, and one chunk size is followed by an
extension without end. The stand-in of the platform ends a process that exceeds memoryMb, as the
pages say, and starts it again.
"""
import http.client
import pathlib
import resource
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
from backend import Backend  # noqa: E402
from mesh import HOST, call, run_case, trouble_wanted  # noqa: E402

CLIENTS = 12
LOST_ALLOWED = 3
MEMORY_MB = 110
RESTART_S = 1.0
BLOCK = b"x" * (1 << 20)


def resident_mb(process):
    try:
        with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize() / 1e6
    except (OSError, ValueError, IndexError):
        return 0


class MemoryLimit:
    """The platform's limit on the memory of a process."""

    def __init__(self, node, record):
        self.peak_mb, self.kills = 0, 0
        self._node, self._record = node, record
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self):
        while not self._stopped.wait(0.005):
            used = resident_mb(self._node.process)
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self._record.line(f"the platform kills the node: {used:.0f} MB resident")
                self.kills += 1
                self._node.end()
                if not self._stopped.wait(RESTART_S):
                    self._node.start()

    def stop(self):
        self._stopped.set()
        self._thread.join()


def answer_without_end(backend, connection, request):
    if not trouble_wanted():
        return False
    backend.note_run(request)
    connection.sock.sendall((
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        f"Pomelohead-Attempt-Id: {request.identity}\r\n"
        "Pomelohead-Response-Seal: seal\r\n\r\n4\r\nabcd\r\n5;").encode())
    while True:  # until the caller closes
        connection.sock.sendall(BLOCK)


def case(mesh, record):
    mesh.memory_mb = MEMORY_MB
    mesh.add_service("faulty")
    mesh.add_service("sound")
    mesh.add_route("reads", "/read/", "safe", "faulty", 800)
    mesh.add_route("writes", "/write/", "unsafe", "sound", 3000)
    mesh.start_store()
    first, second = mesh.start_node(1, "faulty"), mesh.start_node(2, "sound")
    Backend(first.app(), "i-1", record, on_request=answer_without_end)
    sound = Backend(second.app(), "i-2", record, work_s=1.0)
    mesh.register("i-1", first.app(), "faulty")
    mesh.register("i-2", second.app(), "sound", slots=CLIENTS)
    mesh.wait_ready()
    limit = MemoryLimit(first, record)
    lost = []

    def client(number):
        connection = http.client.HTTPConnection(*first.outbound(), timeout=6)
        for turn in range(2):
            identity = f"write-{number}-{turn}"
            try:
                connection.request("POST", "/write/1", b"w", {
                    "Host": HOST, "Pomelohead-Attempt-Id": identity,
                    "Pomelohead-Deadline-Ms": "3000"})
                answer = connection.getresponse()
                answer.read()
                record.line(f"client of {identity} gets {answer.status}")
            except (OSError, http.client.HTTPException) as error:
                record.line(f"client of {identity}: connection ends without an answer, {error!r}")
                lost.append(identity)
                return
        connection.close()

    clients = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in clients:
        thread.start()
    time.sleep(1.2)  # their second requests are at work
    status, _, answer = call(first.outbound(), "GET", "/read/1", "read-1", budget_ms=800)
    record.line(f"client of read-1 gets {status} {answer[:80]!r}")
    for thread in clients:
        thread.join()
    limit.stop()
    passed_on = [identity for identity in lost
                 if any(run.identity == identity for run in sound.runs)]
    record.line(f"node 1 used {limit.peak_mb:.0f} MB at its peak, was killed {limit.kills} times; "
                f"{len(passed_on)} requests of its kept connections were passed on to the sound "
                f"back end and not answered")
    return len(passed_on) > LOST_ALLOWED


run_case(FOLDER, case)

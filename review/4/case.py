"""A back end answers before it has read a long body, and reads on later.

One node with one back end. The back end answers each upload as soon as it has its head, keeps the
connection, and reads on after the time budget. The first upload shows how many bytes of a body the
sockets take up meanwhile; the others are up to 80 KiB longer than that. Small requests follow each
upload. Every byte of the uploads' bodies is the letter U, so that the back end sees whether what
it reads as the rest of a body is the rest of that body.
"""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
from backend import Backend, response  # noqa: E402
from mesh import call, run_case, trouble_wanted  # noqa: E402

KIB = 1024
FIRST_SIZE = 6000 * KIB
EXCESS = [kib * KIB for kib in range(-16, 12)]
BUDGET_MS = 800
READ_ON_AFTER_S = 1.2
WRITES = 3


def case(mesh, record):
    mesh.add_service("svc")
    # A route each, as the node refuses what its route's run times say can't be served in time.
    for number in range(len(EXCESS) + 1):
        mesh.add_route(f"uploads-{number}", f"/up/{number}/", "upload", "svc", 1000)
    mesh.add_route("writes", "/write/", "unsafe", "svc", 1000)
    mesh.start_store()
    node = mesh.start_node(1, "svc")
    wrong, cut = [], []

    def answer_early(backend, connection, request):
        size = int(request.field("Content-Length") or 0)
        if not request.path.startswith("/up/") or not trouble_wanted():
            return False
        backend.note_run(request)
        connection.sock.sendall(response(request.identity, 200, b"early " +
                                         request.identity.encode(), [
            ("Pomelohead-Response-Seal", f"seal-{request.identity}")]))
        time.sleep(READ_ON_AFTER_S)
        read = 0
        while read < size:
            piece = connection.buffer[:size - read]
            connection.buffer = connection.buffer[size - read:]
            if piece.strip(b"U"):
                other = piece.lstrip(b"U")
                wrong.append(request.identity)
                record.line(f"{backend.instance} gets other bytes where the rest of the body of "
                            f"{request.identity} is due, after {read + len(piece) - len(other)} of "
                            f"{size} bytes: {other[:160]!r}")
                raise ConnectionError("not the body")
            read += len(piece)
            if read < size:
                data = connection.sock.recv(65536)
                if not data:
                    cut.append(read)
                    record.line(f"{backend.instance}: connection of {request.identity} ends after "
                                f"{read} of {size} bytes")
                    raise ConnectionError("closed")
                connection.buffer += data
        record.line(f"{backend.instance} has read all of {request.identity}")
        return True

    backend = Backend(node.app(), "i-1", record, on_request=answer_early, buffer_bytes=8 * KIB)
    mesh.register("i-1", node.app(), "svc", slots=20)
    mesh.wait_ready()

    def upload(number, size):
        identity = f"up-{size}"
        status, _, answer = call(node.outbound(), "POST", f"/up/{number}/1", identity, b"U" * size,
                                 budget_ms=BUDGET_MS)
        record.line(f"client of {identity} ({size} bytes) gets {status} {answer[:60]!r}")

    def write(number):
        identity = f"write-{number}"
        status, _, answer = call(node.outbound(), "POST", "/write/1", identity, b"w",
                                 budget_ms=BUDGET_MS)
        record.line(f"client of {identity} gets {status} {answer[:60]!r}")

    upload(0, FIRST_SIZE)
    time.sleep(READ_ON_AFTER_S)
    taken = cut[0] if cut else FIRST_SIZE
    for number, excess in enumerate(EXCESS, 1):
        upload(number, taken + excess)
        writers = [threading.Thread(target=write, args=(f"{excess}-{i}",)) for i in range(WRITES)]
        for writer in writers:
            writer.start()
        for writer in writers:
            writer.join()
        time.sleep(READ_ON_AFTER_S)
    record.line(f"{len(wrong)} bodies had other bytes where their rest was due: {wrong}")
    return bool(wrong)


run_case(FOLDER, case)

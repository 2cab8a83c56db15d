"""A back end in a process of its own; a request with /crash in its path ends it.

A request with /slow in its path takes half a second longer.

    backend_process.py IP PORT INSTANCE RUNS_FILE CRASHES

Each run is appended to RUNS_FILE. With CRASHES = 0 such a request is served like any other.
"""
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from backend import Backend, response  # noqa: E402

SLOW_S = 0.5


class RunsFile:
    def __init__(self, path):
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)

    def line(self, text):
        os.write(self._descriptor, (text + "\n").encode())


def main():
    ip, port, instance, runs_file, crashes = sys.argv[1:]

    def begin(backend, connection, request):
        if "/slow" in request.path:
            backend.note_run(request)
            time.sleep(SLOW_S)
            body = connection.read_body(request)
            connection.sock.sendall(response(request.identity, 200, body, [
                ("Pomelohead-Response-Seal", f"seal-{request.identity}")]))
            return True
        if crashes == "0" or "/crash" not in request.path:
            return False
        backend.note_run(request)
        os._exit(77)

    Backend((ip, int(port)), instance, RunsFile(runs_file), on_request=begin)
    while True:
        time.sleep(60)


main()

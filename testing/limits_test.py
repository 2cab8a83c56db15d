"""A real node under a limit on its address space, with far more callers at once than it has room for."""
import asyncio
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from platform_standin import BackEnd, Store  # noqa: E402
from platform_test import configuration  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "build" / "pomelohead"
ADDRESS = "127.97.0.1"
STORE = ("127.97.0.9", 8142)
LIMIT_S = 20  # bounds a hang; no check depends on how long a step takes
ADDRESS_SPACE_BYTES = 110_000_000
CALLERS = 400
REGISTRATION = (f'{{"addr": "{ADDRESS}:8145", "born": 1000, "info": {{"service": "svc", "version": "v1", '
                '"zone": "bala", "slots": 6}, "status": {"state": "ready", "sequence": 1, "coldLeftMs": 0}}')


async def call(number):
    """The status of one request; None if the connection ends without one."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, 8147)
        writer.write(f"GET /rota/{number} HTTP/1.1\r\nHost: mesh.example\r\nPomelohead-Attempt-Id: a{number}\r\n"
                     "Pomelohead-Deadline-Ms: 3000\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), LIMIT_S)
        return int(line.split()[1]) if line else None
    except OSError:
        return None
    finally:
        if writer:
            writer.close()


async def call_at_once(count):
    return await asyncio.gather(*(call(number) for number in range(count)))


class LimitsTest(unittest.TestCase):
    def test_more_callers_than_memory_allows_do_not_end_the_node(self):
        directory = tempfile.TemporaryDirectory(prefix="pomelohead-")
        self.addCleanup(directory.cleanup)
        settings = pathlib.Path(directory.name) / "node.conf"
        settings.write_text(f"node=n-1\nzone=bala\nregion=gwynedd\nlisten.inbound={ADDRESS}:8146\n"
                            f"listen.outbound={ADDRESS}:8147\nlisten.ready={ADDRESS}:8141\n"
                            "internalPorts=7380,7395\nservice=caller\n"
                            f"platform.addr={STORE[0]}:{STORE[1]}\n", "utf-8")
        store = Store(STORE)
        self.addCleanup(store.close)
        store.put("op/config", configuration(4))
        store.put("servers/i-1", REGISTRATION)
        back_end = BackEnd((ADDRESS, 8145), "i-1", 0.3)
        self.addCleanup(back_end.close)
        log = pathlib.Path(directory.name) / "node.log"
        with open(log, "wb") as output:
            node = subprocess.Popen(
                [str(PROGRAM), "node", "--platform", "--policy-file", str(ROOT / "deploy" / "policy.json")],
                stdout=output, stderr=output, env=dict(os.environ, POMELOHEAD_CONFIG=str(settings)),
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_AS, (ADDRESS_SPACE_BYTES,) * 2))
        self.addCleanup(node.wait)
        self.addCleanup(node.kill)

        def is_served():
            return asyncio.run(call(0)) == 200

        end = time.monotonic() + LIMIT_S
        while not is_served() and time.monotonic() < end:
            time.sleep(0.05)
        for _ in range(3):
            statuses = asyncio.run(call_at_once(CALLERS))
            self.assertIsNone(node.poll(), log.read_text("utf-8")[-2000:])
            self.assertIn(200, statuses)
            self.assertLessEqual(set(statuses), {200, 503, None})
        end = time.monotonic() + LIMIT_S
        while not is_served():
            self.assertLess(time.monotonic(), end, "served again")
            time.sleep(0.05)


if __name__ == "__main__":
    unittest.main()

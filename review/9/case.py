"""A request that crashes its backend comes again and again while nodes are restarted in turn."""
import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))
import mesh as m

NODES = 5
RESTARTS = 15
STABILITY_S = 3.0      # bounds.stabilityMs
BACK_AFTER_S = 3.0     # "the backend is back after some seconds"
CALM_S = 3.2           # after a restart, until the request comes again
TRIES = 3              # arrivals at each machine, each time that it comes
MAX_RETRIES = 3
WORK_S = 0.076
CALLERS = 6
CALLER_PAUSE_S = 0.05
LIMIT_S = 110.0


class Fragile(m.Backend):
    """Ends when it begins to run the request, and is back after some seconds."""
    crashes = []  # (time, node number, was its node in touch)
    returns = set()

    async def run(self, attempt, method, target, fields, body):
        self.mesh.record(f"backend {self.identity} runs {attempt}")
        if target.endswith("/poison"):
            if not self.is_up:
                raise ConnectionAbortedError  # another arrival has ended this boot
            moment = time.monotonic()
            in_touch = moment - self.mesh.nodes[self.number].calm_since > STABILITY_S
            Fragile.crashes.append((moment, in_touch))
            self.mesh.record(f"it crashes {self.identity}; its node is "
                             f"{'in touch' if in_touch else 'not in touch'}")
            self.end()
            task = asyncio.create_task(self.come_back())
            Fragile.returns.add(task)
            raise ConnectionAbortedError
        await asyncio.sleep(self.work_s)

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await self.start()


async def restart(mesh, node):
    node.calm_since = float("inf")
    node.signal(signal.SIGTERM)
    end = time.monotonic() + m.GRACE_S
    while node.is_running() and time.monotonic() < end:
        await asyncio.sleep(0.02)
    node.kill()
    node.start()
    await mesh.wait_ready([node])
    node.calm_since = time.monotonic()


async def play(trouble):
    with tempfile.TemporaryDirectory() as directory:
        async with m.Mesh(directory, NODES, HERE / "record.txt") as mesh:
            begun = time.monotonic()
            await mesh.publish_configuration(kind="safe", timeout_ms=800)
            for n in range(NODES):
                await mesh.add_backend(n, f"i-{n + 1}", work_s=WORK_S, kind=Fragile)
            await mesh.start_nodes()
            for node in mesh.nodes:
                node.calm_since = time.monotonic()
            stop = asyncio.Event()
            outcomes = []

            def ready():
                return [node for node in mesh.nodes if node.calm_since != float("inf")]

            async def caller():
                while not stop.is_set():
                    outcomes.append(await mesh.request(random.choice(ready()), "POST", "swap", 800,
                                                       b"round 7", mesh.UNSAFE_PREFIX))
                    await asyncio.sleep(CALLER_PAUSE_S)

            async def comes_again():
                async def at(node):
                    for _ in range(TRIES):
                        await mesh.request(node, "GET", "poison", 800)

                await asyncio.gather(*(at(node) for node in mesh.nodes))

            tasks = [asyncio.create_task(caller()) for _ in range(CALLERS)]
            await asyncio.sleep(CALM_S)
            await comes_again()
            await asyncio.sleep(BACK_AFTER_S + 1)
            for number in range(RESTARTS):
                if time.monotonic() - begun > LIMIT_S - 8:
                    break
                if trouble:
                    await restart(mesh, mesh.nodes[number % NODES])
                await asyncio.sleep(CALM_S)
                await comes_again()
            stop.set()
            await asyncio.gather(*tasks)
            await asyncio.gather(*Fragile.returns)
            crashes = Fragile.crashes
            third = crashes[2][0] if len(crashes) > 2 else float("inf")
            retries = [moment for moment, in_touch in crashes
                       if in_touch and moment > third + STABILITY_S]
            lost = sum(1 for _, answer in outcomes if answer is None or answer.status == 502)
            mesh.record(f"the request crashed backends {len(crashes)} times; {len(retries)} later "
                        f"than stabilityMs after the third, sent by machines in touch; "
                        f"{lost} other requests got 502 or no answer")
            if not crashes:
                return 2
            return 1 if len(retries) > MAX_RETRIES else 0


def main():
    try:
        return asyncio.run(asyncio.wait_for(play(os.environ.get("TROUBLE") != "0"), 118))
    except Exception as error:  # whatever keeps a stand-in from its work is no verdict
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2


sys.exit(main())

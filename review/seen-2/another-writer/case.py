"""Another writer registers the backends once more, without one of the fields."""
import asyncio
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "standin-2"))
import mesh as m

CALM_S = 5.0
RECOVERY_S = 15.0   # bounds.recoveryS
MEASURED_S = 10.0
WORK_S = 0.076
CALLERS = 4         # for each node


def entry_without_version(mesh, backend):
    return {"addr": f"{backend.address}:{mesh.app_port}", "born": int(time.time() * 1000),
            "info": {"service": backend.service, "zone": mesh.zone(backend.number),
                     "slots": m.SLOTS},
            "status": {"state": "ready", "sequence": 1, "coldLeftMs": 0}}


async def play(trouble):
    with tempfile.TemporaryDirectory() as directory:
        async with m.Mesh(directory, 3, HERE / "record.txt") as mesh:
            await mesh.publish_configuration(kind="safe", timeout_ms=800)
            backends = [await mesh.add_backend(n, f"i-{n + 1}", work_s=WORK_S) for n in range(3)]
            await mesh.start_nodes()
            stop = asyncio.Event()
            sent = []  # (time, status)

            async def caller(node):
                while not stop.is_set():
                    begun = time.monotonic()
                    own = f"page-{mesh.next_attempt()}"
                    _, answer = await mesh.request(node, "GET", own, 800)
                    sent.append((begun, answer.status if answer else None))
                    await asyncio.sleep(0.05)

            callers = [asyncio.create_task(caller(node)) for node in mesh.nodes
                       for _ in range(CALLERS)]
            begun = time.monotonic()
            await asyncio.sleep(CALM_S)
            written_at = time.monotonic()
            if trouble:
                for backend in backends:
                    await mesh.store.put(f"servers/other-{backend.number + 1}",
                                         entry_without_version(mesh, backend))
                    mesh.record(f"entry other-{backend.number + 1} without version is written")
            await asyncio.sleep(RECOVERY_S + MEASURED_S)
            stop.set()
            await asyncio.gather(*callers)

            def share(first, last):
                statuses = [status for moment, status in sent if first <= moment < last]
                served = sum(1 for status in statuses if status == 200)
                return served, len(statuses), served / max(len(statuses), 1)

            before = share(begun + 1, written_at)
            after = share(written_at + RECOVERY_S, written_at + RECOVERY_S + MEASURED_S)
            mesh.record(f"before the entries {before[0]} of {before[1]} requests were served")
            mesh.record(f"later than {RECOVERY_S:.0f} s after them {after[0]} of {after[1]}")
            if before[2] < 0.25:
                return 2
            return 1 if after[2] < 0.25 else 0


def main():
    try:
        return asyncio.run(asyncio.wait_for(play(os.environ.get("TROUBLE") != "0"), 110))
    except Exception as error:  # whatever keeps a stand-in from its work is no verdict
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2


sys.exit(main())

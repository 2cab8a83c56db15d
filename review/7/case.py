"""The relay of a zone loses the store for some seconds; meanwhile a backend leaves unannounced."""
import asyncio
import collections
import json
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))
import mesh as m

CUT_S = 5.5             # core_cut of the site
GONE_AFTER_S = 1.0      # the entry is removed so long after the cut began
JOINS_AFTER_S = 1.0     # another backend joins so long after that
SERVES_ON_S = 8.0       # the backend that left serves on for "many seconds" at most,
LATE_WORK_S = 0.5       # or for so long after it has got work again
WORK_S = 0.3
ZONES = ("dolgellau", "dolgellau", "dolgellau", "bala", "bala")


def relay_of(mesh, nodes):
    """The node that the others of its zone hear of registrations from, by their logs."""
    feeds = collections.Counter()
    for node in nodes:
        last = None
        for line in node.log.read_text(errors="replace").splitlines():
            event = json.loads(line) if line.startswith("{") else {}
            if event.get("event") == "feed_chosen" and "registrations" in event["path"]:
                last = event["from"]
        feeds[last] += 1
    for address, _ in feeds.most_common():
        for node in nodes:
            if mesh.host(node.number) == address:
                return node
    return None


async def play(trouble):
    with tempfile.TemporaryDirectory() as directory:
        async with m.Mesh(directory, 5, HERE / "record.txt", ZONES) as mesh:
            await mesh.publish_configuration(kind="unsafe")
            backends = [await mesh.add_backend(n, f"i-{n + 1}", work_s=WORK_S) for n in range(4)]
            for node in mesh.nodes[:4]:
                node.start()
            await mesh.wait_ready(mesh.nodes[:4])
            await asyncio.sleep(4.0)
            relay = relay_of(mesh, mesh.nodes[:3])
            if relay is None:
                raise RuntimeError("no relay found")
            entry = next(n for n in mesh.nodes[:3] if n is not relay)
            leaving = backends[entry.number]
            mesh.record(f"the relay is {relay.name}; {leaving.identity} beside {entry.name} leaves")
            stop = asyncio.Event()
            outcomes = {}
            taken_by = {}

            async def caller(node):
                while not stop.is_set():
                    attempt, answer = await mesh.request(node, "POST", "swap", 1000, b"round 7")
                    outcomes[attempt] = answer.status if answer else None
                    taken_by[attempt] = node
                    await asyncio.sleep(0.02)

            callers = [asyncio.create_task(caller(node)) for node in mesh.nodes[:4]
                       for _ in range(3)]
            await asyncio.sleep(2.0)
            if trouble:
                relay.link.cut()
                mesh.record(f"{relay.name} is cut off from the store")
            cut_at = time.monotonic()
            await asyncio.sleep(GONE_AFTER_S)
            await leaving.deregister()
            gone_at = time.monotonic()
            await asyncio.sleep(JOINS_AFTER_S)
            await mesh.add_backend(4, "i-5", work_s=WORK_S)
            mesh.nodes[4].start()
            await asyncio.sleep(cut_at + CUT_S - time.monotonic())
            if trouble:
                relay.link.heal()
                mesh.record(f"{relay.name} reaches the store again")
            late_from = gone_at + m.DRAIN_S
            while time.monotonic() < gone_at + SERVES_ON_S:
                first_late = next((t for t, _ in leaving.arrivals if t > late_from), None)
                if first_late and time.monotonic() > first_late + LATE_WORK_S:
                    break
                await asyncio.sleep(0.01)
            leaving.end()
            left_at = time.monotonic()
            await asyncio.sleep(1.5)
            stop.set()
            await asyncio.gather(*callers)
            before = sum(1 for moment, _ in leaving.arrivals if moment <= gone_at)
            late = [attempt for moment, attempt in leaving.arrivals
                    if gone_at + m.DRAIN_S < moment <= left_at
                    and taken_by.get(attempt) not in (relay, None)]
            lost = [attempt for attempt in late if outcomes.get(attempt) != 200]
            mesh.record(f"{before} requests reached {leaving.identity} before its entry was removed")
            mesh.record(f"{len(late)} requests reached it more than drainMs after the "
                        f"acknowledgement; {len(lost)} of them got no success")
            if before == 0:
                return 2
            return 1 if late else 0


def main():
    try:
        return asyncio.run(asyncio.wait_for(play(os.environ.get("TROUBLE") != "0"), 110))
    except Exception as error:  # whatever keeps a stand-in from its work is no verdict
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2


sys.exit(main())

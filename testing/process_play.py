"""Plays stops and load on real processes and counts exits and requests without an answer.

    python3 testing/process_play.py --seed 7 --nodes 4 --seconds 20 --net 63

The nodes run the command of deploy/system.toml. The plan follows from the seed; times vary from
run to run, and the verdict rests on counts only. Exits with 1 and a list if a promise was broken.
"""
import argparse
import asyncio
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import play_verdict  # noqa: E402
from play_callers import Caller, play_odd_peer  # noqa: E402
from play_fleet import GRACE_S, Fleet  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
MIX = ("stops",)
BURST_CALLERS = 60
MAX_PEERS = 2000
CALLERS = 30  # of each node: more than the slots of its target
OVERLAPS_S = (0.0, 0.0, 0.05, 0.5, 1.5, 3.0, 5.0)
SERIES_S = ((0.0,), (0.0,), (0.0, 0.01), (0.0, 1.0, 2.5, 4.0))


async def restart_later(node, delay_s, signals):
    await asyncio.sleep(delay_s)
    await node.stop(signals)
    node.start()


async def play_stops(fleet, plan, until):
    """Series of planned stops that overlap; a node starts again when the former one has ended."""
    while time.monotonic() < until:
        nodes = plan.sample(fleet.nodes, plan.randint(1, min(3, len(fleet.nodes) - 1)))
        await asyncio.gather(*(restart_later(node, plan.choice(OVERLAPS_S),
                                             plan.choice(SERIES_S)) for node in nodes))
        await asyncio.sleep(plan.choice((0.1, 0.5, 1.0)))


async def play_kills(fleet, plan, until):
    """SIGKILL of one node at a time, which starts again at once."""
    while time.monotonic() < until:
        await asyncio.sleep(plan.choice((2.0, 4.0)))
        node = plan.choice(fleet.nodes)
        if node.boot.exited is None and node.boot.terminated is None:
            node.boot.signal(signal.SIGKILL)
            while node.boot.exited is None:
                await asyncio.sleep(0.01)
            node.start()


async def play_starts(fleet, plan, until):
    """A node starts again on the same ports while the former one closes."""
    while time.monotonic() < until:
        await asyncio.sleep(plan.choice((0.5, 2.0)))
        node = plan.choice(fleet.nodes)
        if node.boot.exited is None and node.boot.terminated is None:
            stopping = asyncio.create_task(node.stop())
            await asyncio.sleep(plan.choice((0.0, 0.1, 1.0, 2.9, 3.2)))
            node.start()
            await stopping


async def play_loads(fleet, plan, until):
    """Short bursts of far more callers than slots and queues hold."""
    while time.monotonic() < until:
        await asyncio.sleep(plan.choice((1.0, 3.0)))
        end = time.monotonic() + plan.choice((0.3, 1.0))
        name = f"b{time.monotonic_ns()}"
        callers = [Caller(fleet, node, random.Random(plan.random()), f"{name}.{node.number}.{index}")
                   for node in fleet.nodes for index in range(BURST_CALLERS)]
        await asyncio.gather(*(caller.run(end) for caller in callers))


async def play_peers(fleet, plan, until):
    """Peers that don't keep to the protocol."""
    peers = set()
    for number in range(MAX_PEERS):
        if time.monotonic() >= until:
            break
        peer = asyncio.create_task(play_odd_peer(fleet, plan.choice(fleet.nodes),
                                                 random.Random(plan.random()), f"odd-{number}"))
        peers.add(peer)
        peer.add_done_callback(peers.discard)
        await asyncio.sleep(plan.choice((0.01, 0.05, 0.1)))
    await asyncio.gather(*peers)


async def play_settings(fleet, plan, until):
    """Versions of the configuration, and settings files that change with and without SIGHUP."""
    while time.monotonic() < until:
        await asyncio.sleep(plan.choice((0.0, 0.05, 0.3, 1.0)))
        node = plan.choice(fleet.nodes)
        action = plan.choice(("version", "settings", "signal", "both"))
        if action == "version":
            fleet.put_configuration(plan.choice((0, 3, 200)))
        if action in ("settings", "both"):
            node.write_settings(plan.choice(("caller", "other")))
        if action in ("signal", "both") and await node.is_ready():
            node.boot.signal(signal.SIGHUP)


async def play_evacuations(fleet, plan, until):
    """A zone is evacuated now and then; play_verdict.py checks what its targets get."""
    while time.monotonic() < until:
        await asyncio.sleep(plan.choice((0.5, 2.0)))
        zone = plan.choice(fleet.zones())
        fleet.evacuate(zone)
        await asyncio.sleep(plan.choice((1.0, 7.0, 9.0)))
        fleet.withdraw_evacuation(zone)


ACTIONS = {"stops": play_stops, "kills": play_kills, "starts": play_starts, "loads": play_loads,
           "peers": play_peers, "settings": play_settings, "evacuations": play_evacuations}


async def play(options, directory):
    plan = random.Random(options.seed)
    fleet = Fleet(options.net, options.nodes, options.program, options.root, directory)
    watching = asyncio.create_task(fleet.watch())
    epoch = time.monotonic()
    try:
        await fleet.start()
        until = time.monotonic() + options.seconds
        callers = [Caller(fleet, node, random.Random(plan.random()), f"c{node.number}.{index}",
                          "loads" in options.mix)
                   for node in fleet.nodes for index in range(options.callers)]
        calls = [asyncio.create_task(c.run(until + GRACE_S)) for c in callers]
        acts = [ACTIONS[name](fleet, random.Random(plan.random()), until)
                for name in options.mix.split(",")]
        await asyncio.gather(*acts)
        await asyncio.gather(*(node.stop() for node in fleet.nodes))
        await asyncio.wait(calls)
        for call in calls:
            call.result()
    finally:
        watching.cancel()
        fleet.close()
    return fleet, play_verdict.judge(fleet, epoch)


def parse(words):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=4, choices=range(2, 12))
    parser.add_argument("--seconds", type=float, default=20, help="without the last stop")
    parser.add_argument("--callers", type=int, default=CALLERS, help="of each node")
    parser.add_argument("--net", type=int, default=63, help="of the loopback addresses 127.NET")
    parser.add_argument("--mix", default=",".join(MIX), help="of " + ",".join(ACTIONS))
    parser.add_argument("--program", default=str(ROOT / "build" / "pomelohead"))
    parser.add_argument("--root", default=str(ROOT), help="the checkout with the deploy file")
    parser.add_argument("--keep-logs", help="a directory for the logs of a broken play")
    return parser.parse_args(words)


def main(words=None):
    options = parse(words)
    directory = tempfile.mkdtemp(prefix="pomelohead-play-")
    try:
        fleet, verdict = asyncio.run(play(options, directory))
        print(f"seed {options.seed} mix {options.mix} nodes {options.nodes}: "
              f"{len(fleet.requests)} requests, {len(verdict.broken)} broken; "
              f"own loop at most {fleet.max_lag_s * 1000:.0f} ms late")
        for word, count in sorted(verdict.counts.items()):
            print(f"  {count:6} {word}")
        for line in verdict.broken:
            print(f"broken: {line}")
        if verdict.broken and options.keep_logs:
            kept = pathlib.Path(options.keep_logs) / f"seed-{options.seed}"
            shutil.copytree(directory, kept, dirs_exist_ok=True)
            (kept / "broken.txt").write_text("\n".join(verdict.broken) + "\n", "utf-8")
            print(f"logs: {kept}")
        return 1 if verdict.broken else 0
    finally:
        shutil.rmtree(directory)


if __name__ == "__main__":
    sys.exit(main())

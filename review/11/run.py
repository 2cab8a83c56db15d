"""A configuration adds a route with short work to a service whose other work is long."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin-3"))
import mesh  # pylint: disable=wrong-import-position

HOSTS = (("dolgellau", "cofrestr"), ("bala", "cofrestr"), ("porthmadog", "cofrestr"))
MOVED = "MOVED" in os.environ  # the route was there before, and moves from another service
if MOVED:
    HOSTS += (("bala", "rota"),)
UPLOADS_PER_S = 10
UPLOAD_MS = 600            # check-photos of the site: 94 ms at the mean, 990 at most
UPLOAD_BYTES = 60_000
UPLOAD_DEADLINE_MS = 1000
READS_PER_S = 10
READ_MS = 31               # clock-record of the site
READ_DEADLINE_MS = 400
CALM_S = 4
STEADY_S = 5               # after the ack: configMs (2 s) and stabilityMs (3 s)
MEASURED_S = 12
LEAST_REQUESTS = 20
LEAST_RATIO = 0.25

PHOTO = {"kind": "upload", "service": "cofrestr", "timeoutMs": UPLOAD_DEADLINE_MS,
         "targetLatencyMs": 400}
RECORD = {"kind": "safe", "service": "cofrestr", "timeoutMs": READ_DEADLINE_MS,
          "targetLatencyMs": 150}


async def play_case(play, trouble):
    play.routes = {"photo": PHOTO}
    if not trouble:
        play.routes["record"] = RECORD
    elif MOVED:
        play.routes["record"] = {**RECORD, "service": "rota"}
    await play.start()
    tasks = set()

    def spawn(call):
        task = asyncio.create_task(call)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def upload():
        number = 0
        while True:
            host = play.hosts[number % len(play.hosts)]
            spawn(play.call(host, "POST", f"/photo/{number}?ms={UPLOAD_MS}", b"p" * UPLOAD_BYTES,
                            UPLOAD_DEADLINE_MS))
            number += 1
            await asyncio.sleep(1 / UPLOADS_PER_S)

    async def read():
        number = 0
        while True:
            host = play.hosts[number % len(play.hosts)]
            spawn(play.call(host, "GET", f"/record/{number}?ms={READ_MS}",
                            deadline_ms=READ_DEADLINE_MS))
            number += 1
            await asyncio.sleep(1 / READS_PER_S)

    sending = [asyncio.create_task(upload())]
    if MOVED or not trouble:
        sending.append(asyncio.create_task(read()))
    await asyncio.sleep(CALM_S)
    changed_at = play.now()
    if trouble:
        play.routes["record"] = RECORD
        await play.publish()
    await asyncio.sleep(STEADY_S)
    since = play.now()
    if trouble and not MOVED:
        sending.append(asyncio.create_task(read()))
    await asyncio.sleep(MEASURED_S)
    for task in sending:
        task.cancel()
    while tasks:
        await asyncio.wait(list(tasks))

    def served(name, begin, end):
        sent = [a for a in play.attempts.values()
                if begin <= a["sent"] < end and a["target"].startswith(f"/{name}/")]
        good = [a for a in sent if a["status"] == 200 and a["whole"]
                and a["seal"] == a["answer_sha"]]
        play.note("served", route=name, sent=len(sent), served=len(good))
        return len(good) / max(1, len(sent)), len(sent)

    first, _ = served("photo", since, play.now())
    later, count = served("record", since, play.now())
    if MOVED:
        before, _ = served("record", 0, changed_at)
        print(f"served on the other route before the change: {before:.2f}")
    print(f"served on the first route: {first:.2f}; on the other one: {later:.2f} of {count}")
    if count >= LEAST_REQUESTS and later < LEAST_RATIO * first:
        what = "moved" if MOVED else "added"
        return [f"CONFIG: {later:.2f} of the requests on the {what} route are served"]
    return []


sys.exit(mesh.main(play_case, pathlib.Path(__file__).parent, hosts=HOSTS))

"""A configuration splits a route: the added part leads to a service whose other work is long."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin-3"))
import mesh  # pylint: disable=wrong-import-position

HOSTS = (("dolgellau", "cofrestr"), ("bala", "cofrestr"), ("porthmadog", "cofrestr"),
         ("bala", "rota"))
UPLOADS_PER_S = 10
UPLOAD_MS = 600            # check-photos of the site: 94 ms at the mean, 990 at most
UPLOAD_BYTES = 60_000
UPLOAD_DEADLINE_MS = 1000
READS_PER_S = 10
READ_MS = 31               # clock-record of the site
READ_DEADLINE_MS = 400
CALM_S = 5
STEADY_S = 5               # after the ack: configMs (2 s) and stabilityMs (3 s)
MEASURED_S = 12
LEAST_REQUESTS = 20
LEAST_RATIO = 0.25
PHOTO = {"kind": "upload", "service": "cofrestr", "timeoutMs": UPLOAD_DEADLINE_MS,
         "targetLatencyMs": 400}
RECORD = {"kind": "safe", "service": "rota", "timeoutMs": READ_DEADLINE_MS,
          "targetLatencyMs": 150}
TOWER = {**RECORD, "service": "cofrestr", "prefix": "/record/tower/"}


async def play_case(play, trouble):
    play.routes = {"photo": PHOTO, "record": RECORD}
    await play.start()
    tasks = set()

    async def send(per_s, call):
        number = 0
        while True:
            task = asyncio.create_task(call(play.hosts[number % len(play.hosts)], number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(1 / per_s)

    def upload(host, number):
        return play.call(host, "POST", f"/photo/{number}?ms={UPLOAD_MS}", b"p" * UPLOAD_BYTES,
                         UPLOAD_DEADLINE_MS)

    def read(host, number):
        return play.call(host, "GET", f"/record/tower/{number}?ms={READ_MS}",
                         deadline_ms=READ_DEADLINE_MS)

    begun = play.now()
    sending = [asyncio.create_task(send(UPLOADS_PER_S, upload)),
               asyncio.create_task(send(READS_PER_S, read))]
    await asyncio.sleep(CALM_S)
    changed_at = play.now()
    if trouble:
        play.routes["tower"] = TOWER
        await play.publish()
    await asyncio.sleep(STEADY_S)
    since = play.now()
    await asyncio.sleep(MEASURED_S)
    for task in sending:
        task.cancel()
    while tasks:
        await asyncio.wait(list(tasks))

    def served(prefix, begin, end):
        sent = [a for a in play.attempts.values()
                if begin <= a["sent"] < end and a["target"].startswith(prefix)]
        good = [a for a in sent if a["status"] == 200 and a["whole"]
                and a["seal"] == a["answer_sha"]]
        play.note("served", prefix=prefix, since=begin, sent=len(sent), served=len(good))
        return len(good) / max(1, len(sent)), len(sent)

    before, _ = served("/record/tower/", begun, changed_at)
    first, _ = served("/photo/", since, play.now())
    later, count = served("/record/tower/", since, play.now())
    print(f"served on the first route: {first:.2f}; of the reads: {before:.2f} before,"
          f" {later:.2f} of {count} after")
    if count >= LEAST_REQUESTS and later < LEAST_RATIO * first:
        return [f"CONFIG: {later:.2f} of the requests on the added route are served"]
    return []


sys.exit(mesh.main(play_case, pathlib.Path(__file__).parent, hosts=HOSTS))

"""The callers of testing/process_play.py, and peers that don't keep to the protocol.

    caller = Caller(fleet, fleet.nodes[0], random.Random(1), "c1")
    asyncio.create_task(caller.run(until))
"""
import asyncio
import time

from play_fleet import OUTBOUND_PORT, Sent, connect, digest, take_message

READ_LIMIT_S = 12.0
LONG_SHARE = 0.05
SLOW_READER_SHARE = 0.2
SLOW_READER_S = 0.2


class Caller:
    """Sends requests on a kept connection to one node, and opens the next one when it ends."""

    MAX_REQUESTS = 5000

    def __init__(self, fleet, node, random, name, has_long=False):
        self.fleet = fleet
        self.node = node
        self.random = random
        self.name = name
        self.has_long = has_long
        self.count = 0
        self.pause_s = 0.0  # after an answer that asks to come back later

    async def run(self, until):
        wire = None
        while time.monotonic() < until and self.count < self.MAX_REQUESTS:
            if wire is None:
                try:
                    wire = await connect(self.node.address, OUTBOUND_PORT)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.05)
                    continue
            if not await self._exchange(wire):
                wire.close()
                wire = None
            await asyncio.sleep(self.pause_s + self.random.choice((0, 0, 0.01, 0.1)))
            self.pause_s = 0.0
        if wire is not None:
            wire.close()

    def _make(self, kind, behind):
        self.count += 1
        random = self.random
        body = b"" if kind == "safe" else random.randbytes(random.choice((10, 3000, 200_000)))
        if kind == "unsafe" and self.has_long and random.random() < LONG_SHARE:
            kind = "long"
        request = Sent(f"{self.name}-{self.count}", self.node, kind,
                       random.choice((5, 30, 100, 300, 700, 1500)),
                       random.choice((800, 2000, 4500)), digest(body), behind)
        if kind == "long":
            request.work_ms, request.deadline_ms = 7000, 9000
        self.fleet.requests.append(request)
        return request, body

    def _head(self, request, framing):
        method = "GET" if request.kind == "safe" else "POST"
        return "\r\n".join([
            f"{method} /{request.kind}/{request.identity} HTTP/1.1", "Host: mesh.example",
            f"Pomelohead-Attempt-Id: {request.identity}",
            f"Pomelohead-Deadline-Ms: {request.deadline_ms}", f"X-Work-Ms: {request.work_ms}",
            f"X-Answer-Bytes: {self.random.choice((0, 0, 2000, 300_000))}", *framing, "",
            ""]).encode()

    async def _exchange(self, wire):
        """Sends one request or a few at once; whether the connection may be used again."""
        is_safe = self.random.random() < 0.6
        group = 1 if not is_safe or self.random.random() < 0.7 else self.random.randint(2, 4)
        made = [self._make("safe" if is_safe else "unsafe", index > 0) for index in range(group)]
        sending = asyncio.create_task(self._send(wire, made))
        if self.random.random() < SLOW_READER_SHARE:
            await wire.rest(SLOW_READER_S)
        try:
            for request, _ in made:
                if not await self._receive(wire, request):
                    return False
            return sending.done()
        finally:
            sending.cancel()
            now = time.monotonic()
            for request, _ in made:
                if request.ended is None:
                    request.ended = now
                    request.how = request.how or wire.ended or "behind a closing answer"

    async def _send(self, wire, made):
        chunked = self.random.random() < 0.4
        slow_s = self.random.choice((0, 0, 0, 0.05, 0.3))
        try:
            for request, body in made:
                request.begun = time.monotonic()
                if request.kind == "safe":
                    await wire.write(self._head(request, []))
                else:
                    framing = "Transfer-Encoding: chunked" if chunked else \
                        f"Content-Length: {len(body)}"
                    await wire.write(self._head(request, [framing]))
                    step = max(1, len(body) // 4)
                    for at in range(0, len(body), step):
                        if slow_s:
                            await asyncio.sleep(slow_s)
                        piece = body[at:at + step]
                        await wire.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
                    if chunked:
                        await wire.write(b"0\r\n\r\n")
                request.sent = time.monotonic()
        except ConnectionError:
            pass

    async def _receive(self, wire, request):
        try:
            async with asyncio.timeout(READ_LIMIT_S):
                first, fields, body = await take_message(wire)
                while first.split(" ")[1] == "100":
                    first, fields, body = await take_message(wire)
        except (ConnectionError, TimeoutError) as error:
            request.partial = len(wire.buffer) > 0
            request.how = str(error) or "no answer in time"
            request.ended = time.monotonic()
            return False
        request.ended = time.monotonic()
        request.status = int(first.split(" ")[1])
        request.has_seal = fields.get("pomelohead-response-seal") == digest(body)
        request.answer = body
        if request.status == 503:
            self.pause_s = self.random.choice((0.1, 0.3, 1.0))
        return fields.get("connection", "").lower() != "close"


async def play_odd_peer(fleet, node, random, name):
    """One connection of a peer that sends less or other than a request, or leaves."""
    try:
        wire = await connect(node.address, OUTBOUND_PORT)
    except (OSError, asyncio.TimeoutError):
        return
    head = (f"POST /unsafe/{name} HTTP/1.1\r\nHost: mesh.example\r\n"
            f"Pomelohead-Attempt-Id: {name}\r\nPomelohead-Deadline-Ms: 4000\r\n").encode()
    body = random.randbytes(40)
    framed = head + b"Content-Length: 40\r\n\r\n"
    kind = random.choice(("half head", "half body", "slow head", "bytes", "tls", "leaves", "idle"))
    try:
        if kind == "half head":
            await wire.write(head[:random.randint(1, len(head))])
        elif kind == "half body":
            await wire.write(framed + body[:20])
        elif kind == "slow head":
            for at in range(0, len(head), 20):
                await wire.write(head[at:at + 20])
                await asyncio.sleep(0.5)
        elif kind == "bytes":
            await wire.write(random.randbytes(random.choice((5, 500, 50_000))))
        elif kind == "tls":
            await wire.write(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + random.randbytes(500))
        elif kind == "leaves":
            fleet.odd_identities.add(name)
            await wire.write(framed + body)
            await asyncio.sleep(random.choice((0.0, 0.01, 0.1)))
            return
        await asyncio.sleep(random.choice((0.1, 1.0, 8.0)))
    except ConnectionError:
        pass
    finally:
        wire.close()

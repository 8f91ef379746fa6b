"""An engine's answer with a length, with chunks, and with more behind the length (MIXED)."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import kit

# The doses of the site files: `garble` with share 0.35, x 0.02 and for_s 5.5 (imb-ria, troubles).
SPOILED_ONE_IN = 50
FOR_S = 5.5
CLIENTS = 16


class Client:
    """A client that keeps its connection and sends one request after the other."""

    def __init__(self, site, index):
        self.site, self.box = site, site.boxes[index % len(site.boxes)]
        self.served, self.foreign = 0, []

    async def work(self, stop):
        while not stop.is_set():
            try:
                await self.use_connection(stop)
            except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                    ValueError, IndexError) as error:
                self.site.record(f"client: connection to {self.box.name} ended: {error!r}")

    async def use_connection(self, stop):
        reader, writer = await kit.open_connection(self.box.address("front"))
        try:
            while not stop.is_set():
                name = kit.request_id()
                writer.write(f"GET /page/{name} HTTP/1.1\r\nHost: {kit.HOST}\r\n"
                             f"X-Request-Id: {name}\r\nX-Deadline-Ms: 4000\r\n\r\n".encode())
                head = await asyncio.wait_for(kit.read_head(reader), 5)
                if head is None:
                    raise ConnectionError("closed")
                body = await asyncio.wait_for(kit.read_body(reader, head, is_answer=True), 5)
                answered = head.header("x-request-id")
                if head.status == 200 and (answered != name or body != f"page {name}".encode()):
                    self.foreign.append((name, answered))
                    self.site.record(f"client: sent {name} and got {head.line!r} to {answered}: {body!r}")
                    return
                self.served += head.status == 200
                if (head.header("connection") or "").lower() == "close":
                    return
                await asyncio.sleep(0.02)
        finally:
            writer.close()


async def case(folder, is_troubled):
    site = kit.Site(folder, 2)
    stop = asyncio.Event()
    try:
        await site.store.start()
        spoiling = {"until": 0.0, "count": 0, "answers": 0}

        async def behave(engine, request, reader, writer):
            await asyncio.sleep(0.01)
            name = request.header("x-request-id")
            body = f"page {name}".encode()
            if engine.id == "i-0000" and time.monotonic() < spoiling["until"]:
                spoiling["answers"] += 1
                if spoiling["answers"] % SPOILED_ONE_IN == 0:
                    spoiling["count"] += 1
                    return spoil(name, body, writer)
            writer.write(kit.answer_bytes(200, request, "", body))

        def spoil(name, body, writer):
            # The answer to an earlier request stands behind this one's, within the chunks.
            _, earlier = engines[0].runs[0]
            other = earlier.header("x-request-id")
            extra = kit.answer_bytes(200, earlier, "", f"page {other}".encode())
            content = body + extra
            writer.write(f"HTTP/1.1 200 X\r\nX-Request-Id: {name}\r\nX-Server-Stamp: stamp\r\n"
                         f"Content-Length: {len(body)}\r\nTransfer-Encoding: chunked\r\n\r\n"
                         f"{len(content):x}\r\n".encode() + content + b"\r\n0\r\n\r\n")
            site.record(f"engine i-0000 spoils its answer to {name}: the one to {other} behind it")

        engines = []
        for index in range(3):
            engine = kit.Engine(site.record, f"i-{index:04x}", "plain", site.zones[index])
            engine.behave = behave
            await engine.start("127.0.0.1")
            await engine.register(site.store)
            engines.append(engine)
        await site.configure([kit.route("page", "safe", "plain")], [{"name": "plain"}])
        await site.boot()
        clients = [Client(site, index) for index in range(CLIENTS)]
        tasks = [asyncio.create_task(it.work(stop)) for it in clients]
        await asyncio.sleep(2)
        if is_troubled:
            spoiling["until"] = time.monotonic() + FOR_S
        await asyncio.sleep(FOR_S + 2)
        stop.set()
        await asyncio.gather(*tasks)
        foreign = sum(len(it.foreign) for it in clients)
        served = sum(it.served for it in clients)
        text = (f"{served} answers as due, {spoiling['count']} of {spoiling['answers']} answers of one "
                f"of three engines spoiled, {foreign} answers of another request given to a client")
        site.record(text)
        print(text)
        if served < 100 or is_troubled and not spoiling["count"]:
            raise kit.Unable("too little was sent")
        return foreign == 0
    finally:
        site.close()


# With TROUBLE=0 all is the same but the disruption.
kit.run(case, is_troubled=os.environ.get("TROUBLE", "1") != "0")

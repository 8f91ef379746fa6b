"""A box that stands still is told to stop; the platform's grace counts from there (LOST)."""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import kit

CONTACT_S = 3.0
GRACE_S = 8.0
FROZEN_S = 3.0
WORK_S = 2.2
# `ttlS` counts up to ttl_max_s, and some clients hold on to an answer for three times as long.
TTL_MAX_S = 5.0
HELD_TTLS = 3


async def case(folder, is_troubled):
    site = kit.Site(folder, 4)
    try:
        await site.store.start()
        engines = []
        for index in range(3):
            engine = kit.Engine(site.record, f"i-{index:04x}", "plain", site.zones[index], work_s=WORK_S)
            await engine.start("127.0.0.1")
            await engine.register(site.store)
            engines.append(engine)
        routes = [kit.route("order", "unsafe", "plain", timeoutMs=3000)]
        await site.configure(routes, [{"name": "plain"}])
        await site.boot()
        await asyncio.sleep(3)
        box, other = site.boxes[1], site.boxes[2]
        began = time.monotonic()

        async def until(at):
            await asyncio.sleep(max(0, began + at - time.monotonic()))

        if is_troubled:
            box.signal(signal.SIGSTOP)
        await until(0.3)
        box.signal(signal.SIGTERM)
        told = time.monotonic()

        async def kill():
            await asyncio.sleep(told + GRACE_S - time.monotonic())
            if box.process.poll() is None:
                box.signal(signal.SIGKILL)
            box.process.wait()

        killing = asyncio.create_task(kill())
        # A client asks another box where to go, and holds on to the answer.
        await until(0.9)
        line = "GET /resolve?name=host.example&region=region&zone=middle"
        resolved = json.loads((await kit.call(other.address("directory"), line, {})).body)
        held_until = time.monotonic() + HELD_TTLS * min(resolved["ttlS"], TTL_MAX_S)
        site.record(f"{other.name} names {resolved} at {time.monotonic() - began:.2f} s")
        await until(FROZEN_S)
        resumed = time.monotonic()
        if is_troubled:
            box.signal(signal.SIGCONT)
        lost, sent = [], 0

        async def ask(name):
            nonlocal sent
            asked = time.monotonic()
            try:
                reader, writer = await kit.open_connection(box.address("front"))
            except (OSError, asyncio.TimeoutError) as error:
                site.record(f"client: {name}: no connection: {error!r}")
                return
            sent += 1
            try:
                writer.write(f"POST /order/{name} HTTP/1.1\r\nHost: {kit.HOST}\r\nX-Request-Id: {name}\r\n"
                             f"X-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi".encode())
                head = await asyncio.wait_for(kit.read_head(reader), 3)
                outcome = head and head.status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                outcome = repr(error)
            finally:
                writer.close()
            after = time.monotonic() - asked
            ran = [it.id for it in engines for _, run in it.runs if run.header("x-request-id") == name]
            site.record(f"client: {name} sent {asked - told:.2f} s after SIGTERM: {outcome} after "
                        f"{after:.2f} s, ran at {ran}")
            is_cut = outcome is None or "reset" in str(outcome).lower()
            if is_cut and ran and after < 2.9:
                lost.append(name)

        tasks = []
        at = FROZEN_S + CONTACT_S + 0.15
        while began + at < min(held_until, told + 6.9):
            await until(at)
            if box.address("front") in resolved["addresses"]:
                tasks.append(asyncio.create_task(ask(kit.request_id())))
            at += 0.08
        if tasks:
            await asyncio.gather(*tasks)
        await killing
        text = (f"{sent} requests reached the box from {CONTACT_S} s after it went on; {len(lost)} of them "
                f"were passed on to an engine and cut without an answer")
        site.record(text)
        print(text)
        if is_troubled and not sent:
            raise kit.Unable("no request reached the box")
        return not lost
    finally:
        site.close()


# With TROUBLE=0 all is the same but the disruption.
kit.run(case, is_troubled=os.environ.get("TROUBLE", "1") != "0")

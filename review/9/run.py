"""Entries of another writer at the addresses of sound engines, then the loss of all boxes (RECOVER)."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import kit

RECOVERY_S = 12
LEAST_SHARE = 0.25


async def client(site, served, stop):
    """Sends a safe request each 0.1 s to a box drawn at random, and notes when it was sent and served."""
    while not stop.is_set():
        sent, name = time.monotonic(), kit.request_id()
        box = random.choice(site.boxes)
        try:
            headers = {"X-Request-Id": name, "X-Deadline-Ms": 4000}
            answer = await kit.call(box.address("front"), "GET /page/x", headers, timeout=4)
            outcome = answer.status
        except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = type(error).__name__
        site.record(f"client: {name} to {box.name}: {outcome}")
        served.append((sent, outcome == 200))
        await asyncio.sleep(0.1)


def share(served, after, before):
    chosen = [ok for sent, ok in served if after <= sent < before]
    return (sum(chosen) / len(chosen) if chosen else 0.0), len(chosen)


async def case(folder, is_troubled):
    site = kit.Site(folder, 3)
    stop = asyncio.Event()
    try:
        await site.store.start()
        engines = []
        for index in range(4):
            engine = kit.Engine(site.record, f"i-{index:04x}", "plain", site.zones[index % 3])
            await engine.start("127.0.0.1")
            await engine.register(site.store)
            engines.append(engine)
        services = [{"name": "plain"}]
        await site.configure([kit.route("page", "safe", "plain")], services)
        await site.boot()
        served = []
        clients = [asyncio.create_task(client(site, served, stop)) for _ in range(4)]
        began = time.monotonic()
        await asyncio.sleep(8)
        if is_troubled:
            # The fields of an engine's entry, but of a service that no configuration names.
            for index, engine in enumerate(engines):
                odd = {**engine.entry(), "service": "other", "born": int(time.time() * 1000)}
                await site.store.write("servers", f"m-{index:04x}", odd)
                site.record(f"another writer: servers/m-{index:04x} {odd}")
        await asyncio.sleep(1)
        lost = time.monotonic()
        for box in site.boxes:
            box.signal(signal.SIGKILL)
            box.process.wait()
        await asyncio.sleep(1)
        for box in site.boxes:
            box.start()
        await site.ready()
        back = time.monotonic()
        await asyncio.sleep(RECOVERY_S + 8)
        stop.set()
        await asyncio.gather(*clients)
        before, count_before = share(served, began, lost)
        after, count_after = share(served, back + RECOVERY_S, time.monotonic())
        runs = sum(len([at for at, _ in it.runs if at >= back + RECOVERY_S]) for it in engines)
        text = (f"served before the final fault: {before:.3f} of {count_before}; sent more than "
                f"{RECOVERY_S} s after the boxes were back: {after:.3f} of {count_after}, "
                f"{runs} runs at the four engines")
        site.record(text)
        print(text)
        if before < LEAST_SHARE or not count_after:
            raise kit.Unable("too little was served before")
        return after >= LEAST_SHARE
    finally:
        site.close()


# With TROUBLE=0 all is the same but the disruption.
kit.run(case, is_troubled=os.environ.get("TROUBLE", "1") != "0")

"""All processes are killed at the same moment while engines of two software versions serve.

Counts the streams that clients take up again at machines in touch, and how many of them go on.
"""

import os
import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from model import DEADLINE_MS, SERVICE, Attempt, Model, Prompt, routes, services  # noqa: E402
from world import World, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
CONTACT_S = 3.0
MIN_TAKEN_UP = 12
STREAMS, NEW_STREAMS = 40, 20
PIECES, PIECE_MS = 160, 60

# Clients lose their connections, with TROUBLE since all boxes are killed, this long after the start.
BREAK_AFTER_S = 3.0
# A killed process is started again after this time.
DOWN_S = 0.5
# Clients come back with their streams this long after the break, within their deadline.
RETURN_AFTER_S = 5.0


def main():
    world = World(8, HERE / "record.txt")
    record, lock = world.record, threading.Lock()
    model = Model(PIECES, PIECE_MS)
    for _ in range(3):
        world.engine(SERVICE, model.serve, stage="prefill", slots=128, version="dele69a")
    for number in range(6):
        version = "dele69a" if number % 2 else "dele69b"
        world.engine(SERVICE, model.serve, stage="decode", slots=128, version=version)
    world.configure(routes(), services())
    taken_up, new, mixed = [], [], []

    def client(broken_at):
        """Begins a stream, loses its connection at a time, and takes the stream up again."""
        prompt, began = Prompt(), time.monotonic()
        first = Attempt(record, random.choice(world.boxes), prompt, "new")
        first.run(until=broken_at)
        if not first.events or first.is_whole:
            return
        time.sleep(max(0, broken_at + RETURN_AFTER_S - time.monotonic()))
        left_ms = DEADLINE_MS - 1e3 * (time.monotonic() - began)
        after, version = first.events[-1]
        box = random.choice(world.boxes)
        again = Attempt(record, box, prompt, "resumed", after, first.id, left_ms)
        is_in_touch = time.monotonic() - box.started_at > CONTACT_S
        again.run()
        with lock:
            if is_in_touch:
                taken_up.append(bool(again.events))
            mixed.extend(it for it in again.events if it[1] != version)

    def newcomer():
        """Begins a stream while the others are taken up."""
        attempt = Attempt(record, random.choice(world.boxes), Prompt(), "new")
        attempt.run()
        with lock:
            new.append(bool(attempt.events))

    def start(count, work, *arguments):
        threads = [threading.Thread(target=work, args=arguments) for _ in range(count)]
        for thread in threads:
            thread.start()
            time.sleep(0.03)
        return threads

    try:
        world.start()
        broken_at = time.monotonic() + BREAK_AFTER_S
        threads = start(STREAMS, client, broken_at)
        time.sleep(max(0, broken_at - time.monotonic()))
        if TROUBLE:
            record.write("all boxes are killed")
            for box in world.boxes:
                box.process.kill()
            for box in world.boxes:
                box.process.wait()
            time.sleep(DOWN_S)
            for box in world.boxes:
                box.start(first=False)
            record.write("all boxes are started again")
        time.sleep(max(0, broken_at + RETURN_AFTER_S - time.monotonic()))
        threads += start(NEW_STREAMS, newcomer)
        for thread in threads:
            thread.join()
        ready = sum(it.is_ready() for it in world.boxes)
        text = (
            f"{sum(taken_up)} of {len(taken_up)} streams that were taken up at machines in touch went "
            f"on, {sum(new)} of {len(new)} new ones began; {ready} boxes are ready; "
            f"{len(mixed)} events came from another version"
        )
        record.write(text)
        print(text)
        if len(taken_up) < MIN_TAKEN_UP or sum(new) < len(new) / 2 or ready < len(world.boxes):
            return 2
        return 1 if sum(taken_up) / len(taken_up) < sum(new) / len(new) / 2 else 0
    finally:
        world.end()


run(main)

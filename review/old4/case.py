"""A part of prompts crashes engines of each software version; three later versions are rolled out.

Counts the requests with the part that reach engines later than contactMs after the fifth crash.
"""

import os
import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from model import SERVICE, Attempt, Model, Prompt, routes, services  # noqa: E402
from world import World, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
CONTACT_S = 3.0
ALLOWED_CRASHES, ALLOWED_REQUESTS = 5, 3
BACK_AFTER_S = 2.0
HARMFUL_PART = "bad0bad0"
HARMFUL_PER_S, SOUND_PER_S = 18.0, 6.0

# When an engine of each later software version is rolled out, from the start of traffic.
ROLLOUTS = [(12.0, "dele69b"), (18.0, "dele69c"), (24.0, "dele69d")]
END_AT_S = 30.0


def main():
    world = World(8, HERE / "record.txt")
    record, lock = world.record, threading.Lock()
    crashes, arrivals, answered = [], [], []

    def is_harmful(call):
        return HARMFUL_PART in call.headers.get("X-Prompt-Prefix", "")

    def arrived(engine, call):
        if is_harmful(call):
            request = call.headers["X-Request-Id"]
            record.write(f"harmful {request} reaches {engine.id} ({engine.version})")
            with lock:
                arrivals.append((record.now(), request))

    def crash(engine, call):
        """Crashes an engine that begins to write on the part."""
        if not (TROUBLE and is_harmful(call)):
            return False
        with lock:
            crashes.append(record.now())
        record.write(f"crash {len(crashes)}: engine {engine.id} ({engine.version})")
        engine.crash(BACK_AFTER_S)
        return True

    model = Model(71, 14, arrived, crash)
    for _ in range(3):
        world.engine(SERVICE, model.serve, stage="prefill", slots=128, version="dele69a")
    for _ in range(6):
        world.engine(SERVICE, model.serve, stage="decode", slots=128, version="dele69a")
    world.configure(routes(), services())
    is_over = threading.Event()

    def ask(harmful):
        shared = [f"{HARMFUL_PART}:400"] if harmful else []
        kind = "harmful" if harmful else "sound"
        attempt = Attempt(record, random.choice(world.boxes), Prompt(shared), kind)
        attempt.run()
        if attempt.is_whole and attempt.status == "200":
            with lock:
                answered.append(attempt.id)

    def send(harmful, per_s):
        while not is_over.is_set():
            threading.Thread(target=ask, args=(harmful,), daemon=True).start()
            is_over.wait(random.expovariate(per_s))

    try:
        world.start()
        begin = record.now()
        threading.Thread(target=send, args=(False, SOUND_PER_S), daemon=True).start()
        time.sleep(3)
        threading.Thread(target=send, args=(True, HARMFUL_PER_S), daemon=True).start()
        for at, version in ROLLOUTS:
            time.sleep(begin + at - record.now())
            record.write(f"{len(crashes)} crashes so far; an engine of version {version} starts")
            world.engine(SERVICE, model.serve, stage="decode", slots=128, version=version)
        time.sleep(begin + END_AT_S - record.now())
        is_over.set()
        time.sleep(1.5)
        late = []
        if len(crashes) >= ALLOWED_CRASHES:
            after = crashes[ALLOWED_CRASHES - 1] + CONTACT_S
            late = sorted({it for at, it in arrivals if at > after})
        text = (
            f"{len(crashes)} crashes; {len(late)} requests with the part reached engines later than "
            f"{CONTACT_S} s after crash {ALLOWED_CRASHES}, {ALLOWED_REQUESTS} are allowed; "
            f"{len(answered)} whole answers"
        )
        record.write(text)
        print(text)
        running = all(it.is_running() for it in world.boxes)
        if not running or len(answered) < 40 or (TROUBLE and len(crashes) < ALLOWED_CRASHES):
            return 2
        return 1 if len(late) > ALLOWED_REQUESTS else 0
    finally:
        world.end()


run(main)

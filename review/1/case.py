"""Sessions send requests on two routes, and a configuration moves one of the routes.

Counts the requests that engines of a service run which no configuration lets go to it, and those that
the old service runs later than configApplyMs after the acknowledgement of the move.
"""

import os
import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from model import Attempt, Model, Prompt, services, stream_route  # noqa: E402
from world import World, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
CONFIG_APPLY_S = 2.0
FIRST, SECOND = "prensa-llm", "archivo-llm"
SESSIONS, TURNS, PAUSE_S = 12, 3, 1.0


def main():
    world = World(8, HERE / "record.txt")
    record, lock = world.record, threading.Lock()
    ran, paths, sent_at, whole = [], {}, {}, []

    def arrived(engine, call):
        if call.headers.get("X-Serving-Stage") != "prefill" and engine.stage == "decode":
            request = call.headers["X-Request-Id"]
            record.write(f"{engine.service} runs {request} of {call.path}")
            with lock:
                ran.append((engine.service, request))

    model = Model(30, 14, arrived)
    for service in (FIRST, SECOND):
        for _ in range(2):
            world.engine(service, model.serve, stage="prefill", slots=128)
        for _ in range(3):
            world.engine(service, model.serve, stage="decode", slots=128)
    both = services(FIRST, SECOND)
    world.configure([stream_route("bylaw-proof", FIRST), stream_route("cite-lookup", SECOND)], both)

    def ask(path, prompt):
        attempt = Attempt(record, random.choice(world.boxes), prompt, path, path=path)
        paths[attempt.id], sent_at[attempt.id] = path, time.monotonic()
        attempt.run()
        if attempt.is_whole:
            with lock:
                whole.append(attempt.id)

    def session(turns):
        """Sends the turns of a session, whose prompts end in the session's part."""
        prompt = Prompt()
        for _ in range(turns):
            for path in ("bylaw-proof", "cite-lookup"):
                ask(path, prompt if TROUBLE else Prompt())
                time.sleep(PAUSE_S)

    def moved_session():
        """Goes on with a session on the route that is moved meanwhile."""
        prompt, until = Prompt(), moved_at + CONFIG_APPLY_S + 6
        while time.monotonic() < until:
            ask("bylaw-proof", prompt if TROUBLE else Prompt())
            time.sleep(PAUSE_S)

    def all_of(work, *arguments):
        threads = [threading.Thread(target=work, args=arguments) for _ in range(SESSIONS)]
        for thread in threads:
            thread.start()
            time.sleep(0.05)
        return threads

    try:
        world.start()
        for thread in all_of(session, TURNS):
            thread.join()
        moved_at = time.monotonic() + 4
        threads = all_of(moved_session)
        time.sleep(max(0, moved_at - time.monotonic()))
        world.configure([stream_route(it, SECOND) for it in ("bylaw-proof", "cite-lookup")], both)
        moved_at = time.monotonic()
        record.write(f"the configuration that moves bylaw-proof to {SECOND} is acknowledged")
        for thread in threads:
            thread.join()
        astray = [it for service, it in ran if service == FIRST and paths[it] == "cite-lookup"]
        lookups = [it for it, path in paths.items() if path == "cite-lookup"]
        late = [it for it, at in sent_at.items() if at > moved_at + CONFIG_APPLY_S]
        old = [it for service, it in ran if service == FIRST and it in late]
        text = (
            f"{FIRST} ran {len(set(astray))} of {len(lookups)} requests of cite-lookup, which never went "
            f"there; it ran {len(set(old))} of {len(late)} requests that were sent later than "
            f"{CONFIG_APPLY_S} s after bylaw-proof was moved; {len(whole)} of {len(paths)} whole answers"
        )
        record.write(text)
        print(text)
        if len(whole) < len(paths) / 2 or len(late) < 20:
            return 2
        return 1 if astray or old else 0
    finally:
        world.end()


run(main)

"""Six of eight machines are lost, and clients send bodies within the limits to the other two.

Plays the platform that kills a process over memoryMb, and counts how often it had to on each machine.
"""

import os
import random
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from world import FRONT, HOST_NAME, World, route, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
MEMORY_MB = 110
ALLOWED_ENDS, MIN_MACHINES = 2, 2
LOST = 6
# Thirty clients, as the site's sheet has them, twice as many in a burst. A body is below maxBodyBytes.
CLIENTS = 60
BODY_BYTES = 4_000_000
BYTES_PER_S = 500_000
DOWN_S = 0.5
PLAYED_S = 45.0
DEADLINE_MS = 14000


def main():
    world = World(8, HERE / "record.txt")
    record, lock = world.record, threading.Lock()
    is_over, outcomes, peaks = threading.Event(), [], {}

    def serve(engine, call):
        length = len(call.body())
        record.write(f"engine {engine.id} runs {call.headers['X-Request-Id']}, {length} bytes")
        time.sleep(0.06)
        call.answer(200, b"x" * 800, engine.mark(call, [engine.stamp()]))

    for _ in range(3):
        world.engine("mostrador", serve, slots=6)
    world.configure([route("order-status", "unsafe", "mostrador", DEADLINE_MS, 1)])

    def upload(box):
        """Sends one request over a link of 4 Mbit/s and returns its answer."""
        request = f"{random.getrandbits(64):016x}"
        head = (
            f"POST /order-status/{request[:4]} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Request-Id: {request}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Connection: close\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        record.write(f"client sends {request} to {box.ip}")
        try:
            with socket.create_connection((box.ip, FRONT), timeout=15) as connection:
                connection.sendall(head.encode())
                piece, sent, began = b"y" * (BYTES_PER_S // 20), 0, time.monotonic()
                while sent < BODY_BYTES and not is_over.is_set():
                    connection.sendall(piece[: BODY_BYTES - sent])
                    sent += len(piece)
                    time.sleep(max(0, began + sent / BYTES_PER_S - time.monotonic()))
                outcome = connection.recv(64)[9:12].decode() or "closed"
        except OSError as error:
            outcome = type(error).__name__
        record.write(f"client gets {outcome} for {request}")
        return outcome

    def client():
        while not is_over.is_set():
            outcome = upload(random.choice([it for it in world.boxes if it.index not in lost]))
            with lock:
                outcomes.append(outcome)
            is_over.wait(0.5)

    def memory_mb(box):
        """Returns the memory of a box's process."""
        try:
            status = Path(f"/proc/{box.process.pid}/status").read_text()
        except OSError:
            return 0
        line = [it for it in status.splitlines() if it.startswith("VmRSS")]
        return int(line[0].split()[1]) / 1024 if line else 0

    lost = set(range(LOST)) if TROUBLE else set()
    ends = {it: 0 for it in range(8)}
    try:
        world.start()
        for index in lost:
            world.boxes[index].kill()
            record.write(f"machine {world.boxes[index].ip} is lost")
        time.sleep(2)
        for _ in range(CLIENTS):
            threading.Thread(target=client, daemon=True).start()
        until = time.monotonic() + PLAYED_S
        used = [it for it in world.boxes if it.index not in lost]
        while time.monotonic() < until:
            for box in used:
                used_mb = memory_mb(box)
                peaks[box.ip] = max(peaks.get(box.ip, 0), used_mb)
                if box.is_running() and used_mb <= MEMORY_MB:
                    continue
                box.kill()
                ends[box.index] += 1
                record.write(f"box {box.ip} ends at {used_mb:.0f} MB, limit {MEMORY_MB}")
                time.sleep(DOWN_S)
                box.start(first=False)
            time.sleep(0.05)
        is_over.set()
        time.sleep(1)
        ended = [it for it, count in ends.items() if count > ALLOWED_ENDS]
        served = outcomes.count("200")
        text = (
            f"processes of {len(ended)} of {len(used)} machines ended three times or more: "
            f"{[ends[it.index] for it in used]}; peaks {[round(it) for it in peaks.values()]} MB, limit "
            f"{MEMORY_MB}; {served} of {len(outcomes)} requests answered with 200"
        )
        record.write(text)
        print(text)
        if not outcomes:
            return 2
        return 1 if len(ended) >= MIN_MACHINES else 0
    finally:
        is_over.set()
        world.end()


run(main)

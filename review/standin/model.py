"""A service of model engines with separate prefill and decode, and its clients."""

import random
import socket
import time

from world import FRONT, HOST_NAME, route

SERVICE = "prensa-llm"
PATH = "cite-lookup"

# The site's figures for its engines and its streams.
PREFILL_TOKENS_PER_MS = 55.6
FIRST_MS = 31
GAP_TARGET_MS = 300
DEADLINE_MS = 14000
ENGINE = {
    "slots": 128,
    "kvTokens": 66897,
    "tokenKvBytes": 18432,
    "linkMbps": 350000.0,
    "handleTtlS": 0.5,
}


def services(*names):
    """Returns the services of the configuration."""
    common = {"healthPath": "/health", "maxConnections": 620, "slots": 128, "engine": ENGINE}
    return [{"name": name, **common} for name in names or [SERVICE]]


def stream_route(name, service):
    """Returns a route with streams that may be resumed."""
    more = {"gapTargetMs": GAP_TARGET_MS, "sessionAffinity": True, "resumable": True}
    return route(name, "stream", service, DEADLINE_MS, 2, 900, **more)


def routes():
    """Returns the routes of the configuration."""
    return [stream_route(PATH, SERVICE)]


class Model:
    """What the engines do. `arrived` is told of each call; `crashes` says whether a run crashes."""

    def __init__(self, pieces, piece_ms, arrived=None, crashes=None, has_length=False):
        self.pieces, self.piece_ms, self.has_length = pieces, piece_ms, has_length
        self.arrived = arrived or (lambda engine, call: None)
        self.crashes = crashes or (lambda engine, call: False)

    def serve(self, engine, call):
        life = engine.born
        headers = engine.mark(call, [engine.stamp()])
        call.body()
        self.arrived(engine, call)
        tokens = int(call.headers["X-Token-Count"].split(",")[0])
        if call.headers.get("X-Serving-Stage") == "prefill":
            time.sleep(tokens / PREFILL_TOKENS_PER_MS / 1e3)
            if not engine.lives(life):
                return engine.drop(call)
            handle = f"{random.getrandbits(48):012x}"
            answer = {"prefillHandle": handle, "tokens": tokens, "version": 1}
            return call.answer_json(200, answer, headers)
        if engine.stage != "decode":
            return call.answer(421, b"", [*headers, ("X-Not-Executed", "1")])
        time.sleep(FIRST_MS / 1e3)
        if not call.headers.get("X-Kv-Source"):
            # A decode engine reads a prompt itself at half the pace.
            time.sleep(2 * tokens / PREFILL_TOKENS_PER_MS / 1e3)
        if not engine.lives(life):
            return engine.drop(call)
        if self.crashes(engine, call):
            return engine.drop(call)
        first = int(call.headers.get("Last-Event-Id") or 0)
        # Each event tells which version wrote it. No two runs write the same text.
        events = [
            f"id: {number}\ndata: {engine.version} {'x' * random.randint(40, 120)}\n\n".encode()
            for number in range(first + 1, self.pieces + 1)
        ]
        call.send_response_only(200)
        for name, value in [*headers, ("Content-Type", "text/event-stream")]:
            call.send_header(name, value)
        if self.has_length:
            call.send_header("Content-Length", str(sum(map(len, events))))
        else:
            call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        for event in events:
            time.sleep(self.piece_ms / 1e3)
            if not engine.lives(life):
                return engine.drop(call)
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            call.wfile.write(event if self.has_length else chunk)
            call.wfile.flush()
        if not self.has_length:
            call.wfile.write(b"0\r\n\r\n")
            call.wfile.flush()


class Prompt:
    """A prompt: its parts with their tokens."""

    def __init__(self, shared=(), tokens=None):
        self.tokens = tokens or random.randint(2500, 7500)
        own = f"{random.getrandbits(32):08x}:{self.tokens - 200}"
        self.parts = ",".join(["5c1e07a2:200", *shared, own])


class Attempt:
    """One client attempt of a stream."""

    def __init__(
        self, record, box, prompt, kind="", after=None, resumes=None, left_ms=DEADLINE_MS, path=PATH
    ):
        self.record, self.box, self.kind = record, box, kind
        self.id = f"{random.getrandbits(64):016x}"
        self.status, self.events, self.is_whole = None, [], False
        lines = [
            f"POST /{path}/2f HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Request-Id: {self.id}",
            f"X-Deadline-Ms: {int(left_ms)}",
            "X-Model: m",
            f"X-Token-Count: {prompt.tokens},80",
            f"X-Prompt-Prefix: {prompt.parts}",
            "Connection: close",
            "Content-Length: 16",
        ]
        lines += [f"Last-Event-Id: {after}"] if after is not None else []
        lines += [f"Resumes: {resumes}"] if resumes else []
        self.head = "\r\n".join(lines) + "\r\n\r\n"
        self.body = prompt.parts[-16:].rjust(16, "x")

    def run(self, until=None):
        """Reads the answer, at most until a time of the monotonic clock. Returns the status."""
        words = " ".join(it for it in self.head.split("\r\n") if it.startswith(("Last", "Resumes")))
        self.record.write(f"client sends {self.kind} {self.id} to {self.box.ip} {words}")
        buffer = b""
        try:
            address = (self.box.ip, FRONT)
            with socket.create_connection(address, timeout=1) as connection:
                connection.sendall((self.head + self.body).encode())
                while True:
                    left = (until or time.monotonic() + 15) - time.monotonic()
                    if left <= 0:
                        break
                    connection.settimeout(left)
                    piece = connection.recv(65536)
                    if not piece:
                        break
                    buffer = self.take(buffer + piece)
        except TimeoutError:
            pass
        except OSError as error:
            self.status = self.status or type(error).__name__
        events = f"{len(self.events)} events, the last {self.events[-1]}" if self.events else "none"
        end = "whole" if self.is_whole else "not whole"
        self.record.write(f"client gets {self.status} for {self.kind} {self.id}: {events}, {end}")
        return self.status

    def take(self, buffer):
        """Takes the head and the events that are whole, and returns the rest."""
        if self.status is None:
            if b"\r\n\r\n" not in buffer:
                return buffer
            head, buffer = buffer.split(b"\r\n\r\n", 1)
            self.status = head[9:12].decode()
        self.is_whole = self.is_whole or buffer.endswith(b"0\r\n\r\n")
        *events, rest = buffer.split(b"\n\n")
        for event in events:
            number = event.rpartition(b"id: ")[2].split(b"\n")[0]
            version = event.rpartition(b"data: ")[2].split()[0].decode()
            self.events.append((int(number), version))
        return rest

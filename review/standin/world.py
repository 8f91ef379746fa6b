"""Stand-ins for the platform's store and the engines, and the boxes as separate processes.

Everything listens on loopback addresses. The store and the engines follow PROTOCOL.md; where a page is
silent they behave like a sound store or engine. The figures are those of the site imb-ria.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
NODE = ROOT / "target/release/hollyspoke-node"
HOST_NAME = "ficu95.example"

# A page of a list has at most about 500 objects or 1 MB.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


# The ports of a box, which are the same on all boxes.
FRONT, READY, DIRECTORY, METRICS, PEERS, PROXY = 8149, 8141, 8143, 9464, 7380, 7395
ZONES = ["zorrotza", "deusto", "txurdinaga"]
REGION = "bizkaia"


def free_network():
    """Returns the first three numbers of loopback addresses that no other run uses."""
    while True:
        network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        try:
            with socket.socket() as front, socket.socket() as store:
                front.bind((f"{network}.1", FRONT))
                store.bind((f"{network}.91", 8142))
            return network
        except OSError:
            continue


NETWORK = free_network()


def loopback(index):
    """Returns a loopback address of this run."""
    return f"{NETWORK}.{index + 1}"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


class Server(socketserver.ThreadingTCPServer):
    """A threaded HTTP server on a loopback address."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Handler(BaseHTTPRequestHandler):
    """What the stand-ins share: HTTP/1.1, one write per answer, no log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def answer_json(self, status, value, headers=()):
        headers = [("Content-Type", "application/json"), *headers]
        self.answer(status, json.dumps(value).encode(), headers)


class Store:
    """The platform's metadata store."""

    def __init__(self, ip, port=8142):
        self.objects = {}
        self.history = []
        self.revision = 10
        self.changed = threading.Condition()
        store = self

        class Calls(Handler):
            def do_GET(self):
                store.get(self)

            def do_POST(self):
                store.write(self, "POST")

            def do_PUT(self):
                store.write(self, "PUT")

            def do_DELETE(self):
                store.write(self, "DELETE")

        self.server = Server((ip, port), Calls)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Writes an object as the operator or an engine does."""
        with self.changed:
            self._put(kind, name, spec)

    def remove(self, kind, name):
        with self.changed:
            self._remove(kind, name)

    def _put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        made = old["metadata"]["made"] if old else self.revision
        meta = {"name": name, "revision": self.revision, "made": made, "finalizers": []}
        item = {"metadata": meta, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.history.append((self.revision, kind, {"object": item, "gone": False}))
        self.changed.notify_all()
        return item

    def _remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            item = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
            self.history.append((self.revision, kind, {"object": item, "gone": True}))
            self.changed.notify_all()

    def get(self, call):
        url = urlsplit(call.path)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        parts = [unquote(it) for it in url.path.strip("/").split("/")]
        if len(parts) < 2 or parts[0] != "objects":
            return call.answer_json(404, {})
        kind = parts[1]
        if len(parts) == 3:
            with self.changed:
                item = self.objects.get((kind, parts[2]))
            return call.answer_json(200 if item else 404, item or {})
        if "watch" in query:
            return self.watch(call, kind, int(query["watch"]), int(query.get("waitMs", 0)) / 1e3)
        with self.changed:
            items = [it for key, it in sorted(self.objects.items()) if key[0] == kind]
            at = self.revision
        items = [it for it in items if it["metadata"]["name"] > query.get("after", "")]
        page, size = [], 0
        for item in items:
            size += len(json.dumps(item))
            if page and (len(page) == PAGE_ITEMS or size > PAGE_BYTES):
                break
            page.append(item)
        more = len(page) < len(items)
        call.answer_json(200, {"items": page, "more": more, "at": at})

    def watch(self, call, kind, since, wait):
        until = time.monotonic() + wait
        with self.changed:
            while True:
                events = [it for at, of, it in self.history if at > since and of == kind]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                self.changed.wait(left)
            at = self.revision
        call.answer_json(200, {"events": events, "at": at})

    def write(self, call, method):
        body = call.body()
        url = urlsplit(call.path)
        parts = [unquote(it) for it in url.path.strip("/").split("/")]
        value = json.loads(body) if body else {}
        meta = value.get("metadata", {})
        kind, name = parts[1], parts[2] if len(parts) > 2 else meta.get("name")
        with self.changed:
            old = self.objects.get((kind, name))
            expected = meta.get("revision")
            stale = old and expected is not None and expected != old["metadata"]["revision"]
            if (method == "POST" and old) or stale:
                status, item = 409, old
            elif method == "PUT" and not old:
                status, item = 404, {}
            elif method == "DELETE":
                self._remove(kind, name)
                status, item = 200, old or {}
            else:
                status, item = 200, self._put(kind, name, value.get("spec"))
        call.answer_json(status, item)


def reset(connection):
    """Closes a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    try:
        connection.close()
    except OSError:
        pass


class Engine:
    """An engine of a service. `run` gets the call and answers it; it returns after the answer."""

    def __init__(self, world, index, service, run, stage=None, slots=32, version="v1"):
        self.world, self.index = world, index
        self.id = f"i-{random.getrandbits(40):010x}"
        self.service, self.stage, self.slots, self.version = service, stage, slots, version
        self.state = "ready"
        engine = self

        class Calls(Handler):
            def setup(self):
                super().setup()
                engine.connections.add(self.connection)

            def finish(self):
                engine.connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                engine.take(self, run)

            do_POST = do_PUT = do_DELETE = do_GET

        self.calls, self.connections, self.is_up = Calls, set(), False
        self.ip, self.port = loopback(100 + index), 0
        self.start()

    def start(self):
        """Starts a life of the engine and writes its entry."""
        self.born = int(time.time() * 1000)
        self.server = Server((self.ip, self.port), self.calls)
        self.port = self.server.server_address[1]
        self.address = f"{self.ip}:{self.port}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        self.is_up = True
        self.register()

    def crash(self, back_after):
        """Ends the life at once: all connections are reset. The engine is back after some seconds."""
        if not self.is_up:
            return
        self.is_up = False
        for connection in list(self.connections):
            reset(connection)
        threading.Thread(target=self.come_back, args=(self.server, back_after), daemon=True).start()

    def come_back(self, server, after):
        server.socket.close()
        server.shutdown()
        time.sleep(after)
        self.start()

    def lives(self, born):
        return self.is_up and self.born == born

    def drop(self, call):
        """Answers nothing: the engine that had the call has crashed."""
        call.close_connection = True
        reset(call.connection)

    def register(self):
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": ZONES[self.index % len(ZONES)],
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "callSeq": 0,
            "born": self.born,
        }
        if self.stage:
            spec["stage"] = self.stage
            spec["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.world.store.put("servers", self.id, spec)

    def take(self, call, run):
        expected = call.headers.get("X-Expect-Instance")
        if expected not in (None, self.id):
            body = call.body()
            return call.answer(421, b"", self.mark(call, [("X-Not-Executed", "1")]))
        if call.path == "/report":
            return call.answer_json(200, self.report())
        if call.path == "/kv-list":
            return call.answer_json(200, {"epoch": 1, "nextToken": 0, "held": []})
        if call.path.startswith(("/kv-handle/", "/kv-pin/", "/hold-drop/")):
            return call.answer(200)
        return run(self, call)

    def report(self):
        return {
            "stage": self.stage or "decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "callSeq": 0,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 90000,
            "prefillHandles": 0,
            "state": self.state,
            "born": self.born,
        }

    def mark(self, call, headers=()):
        """Returns the headers of each answer: the request's id, and what is given."""
        marks = [*headers]
        if call.headers.get("X-Request-Id"):
            marks.append(("X-Request-Id", call.headers["X-Request-Id"]))
        return marks

    def stamp(self):
        return ("X-Server-Stamp", f"{self.id}.{random.getrandbits(32):08x}")


class Box:
    """A box: the process of the deploy file, started with settings like the platform's."""

    def __init__(self, world, index):
        self.world, self.index, self.ip = world, index, loopback(index)
        self.zone = ZONES[index % len(ZONES)]
        self.settings = world.folder / f"box-{index}.toml"
        self.log = world.folder / f"box-{index}.log"
        self.process, self.started_at = None, 0

    def start(self, first):
        """Starts the process, as the platform does after the machine's start or a process's end."""
        seeds = [f"{loopback(it)}:8144" for it in range(min(3, self.world.box_count))]
        regions = "\n".join(f'"{it}" = "{REGION}"' for it in ZONES)
        # deploy/settings.template.toml, filled in.
        text = f"""[box]
name = "front-{self.zone}-{self.index}"
data_centre = "{self.zone}"
seeds = {json.dumps(seeds)}
{"first_start = true" if first else ""}

[regions]
{regions}

[listen]
front = "{self.ip}:{FRONT}"
ready = "{self.ip}:{READY}"
directory = "{self.ip}:{DIRECTORY}"
metrics = "{self.ip}:{METRICS}"
peer_port = {PEERS}
proxy_port = {PROXY}

[store]
address = "{self.world.store.address}"

[bounds]
retry_ratio = 0.2
retry_allowance = 56
retry_window_s = 10
order_pause_ms = 3000
drain_ms = 2000
grace_s = 8
"""
        self.settings.write_text(text)
        variables = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables["HOLLYSPOKE_CONFIG"] = str(self.settings)
        with open(self.log, "a") as log:
            self.started_at = time.monotonic()
            self.process = subprocess.Popen(
                [str(NODE)],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Kills the process and waits for its end."""
        self.process.kill()
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        return self.ask(READY, "/readiness")[0] == 200

    def resolve(self):
        """Returns the addresses that the box's directory names."""
        path = f"/resolve?name={HOST_NAME}&region={REGION}&zone={self.zone}"
        status, body = self.ask(DIRECTORY, path)
        return json.loads(body)["addresses"] if status == 200 else None

    def ask(self, port, path):
        connection = http.client.HTTPConnection(self.ip, port, timeout=1)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return None, b""
        finally:
            connection.close()


def route(name, kind, service, timeout_ms=1500, attempts=2, target_ms=300, **more):
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        **more,
    }


class World:
    """The store, the engines and the boxes of one run."""

    def __init__(self, box_count, record):
        self.folder = Path(tempfile.mkdtemp(prefix="hollyspoke-review-"))
        self.record = Record(record)
        self.box_count = box_count
        self.store = Store(loopback(90))
        self.engines, self.boxes = [], []
        self.version = 1

    def configure(self, routes, services=None):
        services = services or [
            {"name": "mostrador", "healthPath": "/health", "maxConnections": 110},
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        spec = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        self.version += 1
        self.store.put("config", "main", spec)

    def engine(self, service, run, **more):
        engine = Engine(self, len(self.engines), service, run, **more)
        self.engines.append(engine)
        return engine

    def start(self):
        for index in range(self.box_count):
            box = Box(self, index)
            self.boxes.append(box)
            box.start(first=True)
        until = time.monotonic() + 10
        while not all(it.is_ready() for it in self.boxes):
            if time.monotonic() > until:
                raise RuntimeError("the boxes are not ready")
            time.sleep(0.05)
        # Traffic starts some seconds after the machines.
        time.sleep(3)

    def end(self):
        for box in self.boxes:
            if box.is_running():
                box.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case):
    """Runs a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended from outside"))
    try:
        code = case()
    except BaseException as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)

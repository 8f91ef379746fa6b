"""Stand-ins for the store, engines and clients, and the start of the project's own boxes.

Everything listens on loopback addresses. A box is `target/release/hollyspoke-node`, started as a
process of its own with settings filled in from `deploy/settings.template.toml`.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "host.example"
HELD, BROKEN, UNABLE = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to `record.txt`, each line with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


# Templates of settings, as DEPLOY.md describes them.

def _tree(fields):
    tree = {}
    for key, value in fields.items():
        *path, last = key.split(".")
        node = tree
        for part in path:
            node = node.setdefault(part, {})
        node[last] = value
    return tree


def _look_up(stack, name):
    if name == ".":
        return stack[-1][0]
    if name == "@":
        return stack[-1][1]
    for value, _ in reversed(stack):
        found = value
        for part in name.split("."):
            if isinstance(found, dict) and part in found:
                found = found[part]
            elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            else:
                break
        else:
            return found
    return None


def _plain(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(_plain, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill_in(text, stack):
    """Fills in a template of settings."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def one(match):
        kind, name, inner = match.groups()
        value = _look_up(stack, name)
        if kind == "^":
            return "" if value else fill_in(inner, stack)
        if value is None or value is False:
            return ""
        if isinstance(value, dict):
            return "".join(fill_in(inner, stack + [(it, key)]) for key, it in value.items())
        if isinstance(value, list):
            return "".join(fill_in(inner, stack + [(it, i)]) for i, it in enumerate(value))
        return fill_in(inner, stack + [(value, "")])

    text = section.sub(one, text)

    def gap(match):
        name, _, form = match.group(1).partition("|")
        value = _look_up(stack, name)
        return json.dumps(value) if form == "json" else _plain(value)

    return re.sub(r"\{\{([^#^/}][^}]*)\}\}", gap, text)


# HTTP/1.1 on plain streams.

class Message:
    """A head with its body."""

    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body

    def header(self, name):
        return next((value for key, value in self.headers if key == name), None)

    @property
    def status(self):
        return int(self.line.split(" ")[1])

    @property
    def path(self):
        return self.line.split(" ")[1]


async def read_head(reader):
    """Reads a head; `None` if the connection ends before."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_body(reader, message, is_answer=False):
    """Reads the body behind a head; raises if it is cut short."""
    if (message.header("transfer-encoding") or "").lower().endswith("chunked"):
        parts = []
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise ConnectionError("cut within a chunk")
            size = int(line.split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            parts.append(part[:-2])
        return b"".join(parts)
    length = message.header("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if is_answer and message.status not in (204, 304):
        return await reader.read(-1)
    return b""


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# The store.

class Store:
    """The platform's store in the form `objects`."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.log = []
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None
        # When a watch was last asked for at each address.
        self.watched = {}
        # Decides about a call before it is carried out: None, or an awaitable function.
        self.gate = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def listen(self, ip="127.0.0.1"):
        """Returns one more address of the store."""
        server = await asyncio.start_server(self.serve, ip, 0)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        at = "%s:%d" % writer.get_extra_info("sockname")[:2]
        try:
            while (call := await read_head(reader)) is not None:
                call.body = await read_body(reader, call)
                if "watch=" in call.path:
                    self.watched[at] = time.monotonic()
                if self.gate is not None and not await self.gate(call, writer):
                    return
                status, body = await self.respond(call)
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def write(self, kind, name, spec=None, status=None, gone=False):
        """Writes an object as another writer than the system."""
        async with self.changed:
            self._change(kind, name, spec, status, gone)
            self.changed.notify_all()

    def _change(self, kind, name, spec=None, status=None, gone=False):
        old = self.objects.get((kind, name))
        if old is not None and not gone and spec == old.get("spec") and status is None:
            return old
        self.revision += 1
        made = old["metadata"]["made"] if old else self.revision
        item = {"metadata": {"name": name, "revision": self.revision, "made": made,
                             "finalizers": [], "deleting": False},
                "spec": spec if not gone else old and old.get("spec"),
                "status": status if status is not None else old and old.get("status")}
        if gone:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = item
        self.log.append((self.revision, kind, item, gone))
        return item

    async def respond(self, call):
        method = call.line.split(" ")[0]
        path, _, query = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(it) for it in path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is not None:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET":
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            items = [self.objects[kind, n] for n in names[:500]]
            return 200, {"items": items, "more": len(names) > 500, "at": self.revision}
        async with self.changed:
            body = json.loads(call.body or b"{}")
            name = name or body.get("metadata", {}).get("name")
            item = self.objects.get((kind, name))
            expected = body.get("metadata", {}).get("revision", query.get("revision"))
            if method == "POST" and item is not None:
                return 409, item
            if method in ("PUT", "DELETE") and item is None:
                return 404, {}
            if expected is not None and item and int(expected) != item["metadata"]["revision"]:
                return 409, item
            if method == "DELETE":
                item = self._change(kind, name, gone=True)
            elif len(parts) > 2:
                item = self._change(kind, name, item["spec"], body.get("status"))
            else:
                item = self._change(kind, name, body.get("spec"))
            self.changed.notify_all()
            return 200, item

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1e3
        while True:
            events = [{"object": item, "gone": gone}
                      for at, it, item, gone in self.log if at > since and it == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# Engines.

def answer_bytes(status, request, headers="", body=b"", stamp="stamp"):
    """Returns an engine's whole answer."""
    stamp = f"X-Server-Stamp: {stamp}\r\n" if stamp else ""
    head = (f"HTTP/1.1 {status} X\r\nX-Request-Id: {request.header('x-request-id') or ''}\r\n"
            f"{stamp}{headers}Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Engine:
    """An engine of a service without stages. `behave` answers a request that the engine runs."""

    def __init__(self, record, name, service, zone, slots=8, work_s=0.03):
        self.record, self.id, self.service, self.zone = record, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.version = "v1"
        # How long it takes to tell of itself.
        self.report_s = 0.0
        self.behave = None
        self.runs = []
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version,
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "callSeq": 0,
                "born": self.born}

    async def register(self, store):
        await store.write("servers", self.id, self.entry())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                await self.respond(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, request, reader, writer):
        expected = request.header("x-expect-instance")
        if expected is not None and expected != self.id:
            self.record(f"engine {self.id} answers 421 to {request.header('x-request-id')}")
            writer.write(answer_bytes(421, request, "X-Not-Executed: 1\r\n"))
        elif request.path.startswith("/report"):
            await asyncio.sleep(self.report_s)
            body = json.dumps({"models": [], "busy": False, "callSeq": 0, "queued": 0, "active": 0,
                               "kvUsed": 0, "kvTotal": 0, "prefillHandles": 0, "state": self.state,
                               "born": self.born}).encode()
            writer.write(answer_bytes(200, request, "Content-Type: application/json\r\n", body))
        elif request.path.startswith("/health"):
            writer.write(answer_bytes(200, request, f"X-Instance-Id: {self.id}\r\n"))
        else:
            self.runs.append((time.monotonic(), request))
            self.record(f"engine {self.id} runs {request.header('x-request-id')} {request.line}")
            if self.behave is not None:
                await self.behave(self, request, reader, writer)
            else:
                await asyncio.sleep(self.work_s)
                writer.write(answer_bytes(200, request, "", b"done " + self.id.encode()))
        await writer.drain()

    async def stop(self):
        """Ends the engine's process, as far as others can see: its sockets are reset."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


# Boxes.

def free_ports(ips, count):
    """Returns ports that are free at all addresses, for TCP and UDP."""
    for _ in range(200):
        base = random.randrange(20000, 31000)
        sockets = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        sockets.append(sock)
                        sock.bind((ip, port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no free ports")


BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "budgetSlack": 56, "recoveryS": 12, "transitMs": 120, "retryAfterS": 5.6,
          "fencingRequired": False, "leaseMs": 3000, "thawMs": 300, "ttl_max_s": 5}


class Box:
    """One machine of the system, with its process."""

    def __init__(self, site, index, zone):
        self.site, self.index, self.zone = site, index, zone
        self.ip = f"127.0.{site.net}.{index + 1}"
        self.name = f"front-{zone}-{index + 1}"
        self.process = None
        self.store = None

    def address(self, what):
        return f"{self.ip}:{self.site.ports[what]}"

    def start(self, bootstrap=False):
        site, ports = self.site, self.site.ports
        fields = {"nodeName": self.name, "zone": self.zone, "region": "region", "ip": self.ip,
                  "role": "node", "bootstrap": bootstrap,
                  "seeds": [f"{it.ip}:{ports['control']}" for it in site.boxes[:3]],
                  "platform.address": self.store or site.store.address,
                  "limits.memoryMb": 110, "portRange": [ports["peer"], ports["proxy"]]}
        for what in ("front", "ready", "control", "directory"):
            fields[f"listen.{what}"] = self.address(what)
        for zone in site.zones:
            fields[f"zones.{zone}"] = "region"
        for key, value in BOUNDS.items():
            fields[f"bounds.{key}"] = value
        with open(os.path.join(ROOT, "deploy/settings.template.toml"), encoding="utf-8") as file:
            text = fill_in(file.read(), [(_tree(fields), "")])
        # The metrics' port stands in the deploy file and may be taken on this machine.
        text = text.replace(f'metrics = "{self.ip}:9464"', f'metrics = "{self.address("metrics")}"')
        path = os.path.join(site.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(site.folder, f"{self.name}.log"), "a", encoding="utf-8")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/release/hollyspoke-node")], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL, env={"HOLLYSPOKE_CONFIG": path, "PATH": os.environ["PATH"]})
        site.record(f"box {self.name} started, process {self.process.pid}")

    def follows(self):
        """Returns whether the box has watched the store lately."""
        return time.monotonic() - self.site.store.watched.get(self.store, 0) < 3

    def signal(self, number):
        self.site.record(f"box {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call(self.address("ready"), "GET /readiness", {}), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, AttributeError):
            return False
        return answer.status == 200


class Site:
    """A small deployment: a store, boxes in three zones, and the folder of their settings and logs."""

    def __init__(self, folder, count):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="hollyspoke-review-")
        self.zones = ["north", "middle", "south"]
        self.store = Store(self.record)
        self.net = random.randrange(20, 250)
        self.boxes = [Box(self, i, self.zones[i % 3]) for i in range(count)]
        names = ["front", "ready", "control", "directory", "peer", "proxy", "metrics"]
        self.ports = dict(zip(names, free_ports([it.ip for it in self.boxes], len(names))))
        self.version = 0

    async def configure(self, routes, services, **more):
        self.version += 1
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                  "idleTimeoutMs": 15000}
        spec = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        await self.store.write("config", "main", {**spec, **more})

    async def boot(self):
        for box in self.boxes:
            box.store = await self.store.listen()
            box.start(bootstrap=True)
        await self.ready()

    async def ready(self, within=15):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if all([await it.is_ready() for it in self.boxes]):
                self.record("all boxes are ready")
                return
            await asyncio.sleep(0.1)
        raise Unable("boxes are not ready")

    def close(self):
        for box in self.boxes:
            if box.process is not None and box.process.poll() is None:
                box.process.kill()
        for box in self.boxes:
            if box.process is not None:
                box.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Unable(Exception):
    """The case could not run."""


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "routeType": kind,
            "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 1, "service": service,
            "maxAttempts": 2, **more}


# Clients.

async def open_connection(address, timeout=1.0):
    ip, port = address.rsplit(":", 1)
    return await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout)


async def call(address, line, headers, body=b"", timeout=None):
    """Sends one request on a new connection and returns the answer."""
    reader, writer = await open_connection(address)
    try:
        text = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
        host = "" if "Host" in headers else f"Host: {HOST}\r\n"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        writer.write(f"{line} HTTP/1.1\r\n{host}{text}{length}\r\n".encode() + body)
        await writer.drain()

        async def receive():
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            head.body = await read_body(reader, head, is_answer=True)
            return head

        return await asyncio.wait_for(receive(), timeout)
    finally:
        writer.close()


_next_id = [0]


def request_id():
    _next_id[0] += 1
    return f"{_next_id[0]:06x}{random.randrange(1 << 40):010x}"


def run(case, is_troubled):
    """Runs a case: `case(folder, is_troubled)` returns whether the rule was kept."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def bounded():
        # Stand-ins that still serve when the case is over are cancelled, which is no error.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        running = asyncio.ensure_future(case(folder, is_troubled))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, running.cancel)
        return await asyncio.wait_for(running, 115)

    try:
        kept = asyncio.run(bounded())
    except (Unable, RuntimeError, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(UNABLE)
    print("the rule held" if kept else "the rule was broken")
    sys.exit(HELD if kept else BROKEN)

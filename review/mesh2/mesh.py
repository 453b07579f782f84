"""Stand-ins for the platform, its store, the application instances and their
clients, as the users' pages describe them. They run the sidecar with the
command, the template and the environment of the deploy file."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The bounds of the small deployments.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 60,
    "recoverS": 15,
}


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        self.file.write("%9.4f %s\n" % (now() - self.start, text))
        self.file.flush()


def free_subnet():
    """Returns the prefix of loopback addresses on which no port is in use."""
    for _ in range(50):
        prefix = "127.%d.%d." % (random.randrange(10, 250), random.randrange(1, 250))
        try:
            for port in (7620, 7635, 8301, 8302, 8304, 8306, 8309, 9464):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((prefix + "10", port))
            return prefix
        except OSError:
            continue
    raise OSError("no free loopback addresses")


# --- HTTP -----------------------------------------------------------------


class Message:
    def __init__(self, line, fields, body):
        self.line, self.fields, self.body = line, fields, body

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    line, fields = await read_head(reader)
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return Message(line, fields, body)


def encode_answer(status, fields, body):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in fields.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve_http(host, port, handler, backlog=512):
    """Serves HTTP with keep-alive. The handler gets the request and returns
    status, fields and body."""

    async def on_connection(reader, writer):
        try:
            while True:
                request = await read_message(reader)
                status, fields, body = await handler(request, writer)
                if status is None:
                    return
                writer.write(encode_answer(status, fields, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=backlog,
                                      limit=1 << 26, reuse_address=True)


# --- the platform's store ------------------------------------------------


class Store:
    """The log that the pages describe: keyed topics with one partition."""

    def __init__(self, host, record):
        self.host, self.record = host, record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.answer_ms = 4

    @property
    def address(self):
        return "%s:8309" % self.host

    async def start(self):
        self.server = await serve_http(self.host, 8309, self.handle)

    async def put(self, topic, key, value):
        """The operator's write. It returns once the store has acknowledged."""
        async with self.changed:
            offset = self.append(topic, key, value)
            self.changed.notify_all()
        return offset

    def append(self, topic, key, value):
        log = self.topics.setdefault(topic, [])
        log.append((key, value))
        return len(log) - 1

    async def handle(self, request, writer):
        method, target, _ = request.line.split(" ")
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        await asyncio.sleep(self.answer_ms / 1000)
        json_type = {"Content-Type": "application/json"}
        topic = args.get("topic", "")
        if path == "/v1/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(self.topics.get(topic, [])):
                newest[key] = (offset, value)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items())]
            after = args.get("after", "")
            items = [item for item in items if item["key"] > after]
            body = {"items": items[:500], "more": len(items) > 500,
                    "end": len(self.topics.get(topic, []))}
            return 200, json_type, json.dumps(body).encode()
        if path == "/v1/log-read":
            start = int(args["from"])
            deadline = now() + int(args.get("waitMs", "0")) / 1000
            async with self.changed:
                while len(self.topics.get(topic, [])) <= start and now() < deadline:
                    try:
                        await asyncio.wait_for(self.changed.wait(), deadline - now())
                    except asyncio.TimeoutError:
                        break
            log = self.topics.get(topic, [])
            body = struct.pack(">QQ", len(log), 0)
            for key, value in log[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return 200, {}, body
        if path == "/v1/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, {}, b""
            content, first = request.body, None
            async with self.changed:
                while content:
                    (size,) = struct.unpack(">I", content[:4])
                    entry, content = content[4:4 + size], content[4 + size:]
                    key = entry[1:1 + entry[0]].decode()
                    offset = self.append(topic, key, entry[1 + entry[0]:])
                    first = offset if first is None else first
                self.changed.notify_all()
            body = {"offset": first, "end": len(self.topics.get(topic, []))}
            return 200, json_type, json.dumps(body).encode()
        return 404, {}, b""


# --- instances -----------------------------------------------------------


class Instance:
    """An application instance. It runs SLOTS requests at a time, queues the
    others, and rejects requests that expect another instance."""

    def __init__(self, machine, service, record, slots=6):
        self.machine, self.service, self.record, self.slots = machine, service, record, slots
        self.id = "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.runs = []
        self.free = asyncio.Semaphore(slots)
        self.work = lambda request: (0.05, b"x" * 200)
        self.beats = None
        self.beat_address = None
        self.signature = 0

    async def start(self, backlog=512):
        self.server = await serve_http(self.machine.ip, 8301, self.handle, backlog)
        self.beats = asyncio.ensure_future(self.beat_forever())

    async def handle(self, request, writer):
        method, target, _ = request.line.split(" ")
        fields = {"X-Zinniawheel-Instance-Id": self.id,
                  "X-Zinniawheel-Server-Load":
                      "%d,0,%d" % (self.slots - self.free._value, self.slots)}
        if target == "/healthz":
            return (200 if self.state == "ready" else 503), fields, b""
        request_id = request.fields.get("x-zinniawheel-request-id")
        if request_id is None:
            return 400, {"X-Zinniawheel-Not-Executed": "1"}, b""
        fields["X-Zinniawheel-Request-Id"] = request_id
        expected = request.fields.get("x-zinniawheel-expected-instance")
        if expected not in (None, self.id):
            return 421, fields, b""
        async with self.free:
            self.runs.append((now(), request_id, method, target, request.fields, request.body))
            self.record("%s (%s) runs %s %s %s" % (self.id, self.service, request_id, method, target))
            seconds, body = self.work(request)
            await asyncio.sleep(seconds)
        self.signature += 1
        fields["X-Zinniawheel-Response-Signature"] = "%s.%d" % (self.id, self.signature)
        return 200, fields, body

    async def call(self, call, body):
        """Sends a call to the control address of the own machine."""
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip, 8306), 1)
        try:
            text = json.dumps(body).encode()
            writer.write(("POST /v1/rpc?call=%s&of=%s HTTP/1.1\r\nHost: %s:8306\r\n"
                          "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                          % (call, self.id, self.machine.ip, len(text))).encode() + text)
            return (await asyncio.wait_for(read_message(reader), 1)).status
        finally:
            writer.close()

    async def beat(self):
        self.sequence += 1
        body = {"address": "%s:8301" % self.machine.ip, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.machine.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "coldLeftMs": 0}}
        try:
            return await self.call("instances.heartbeat", body)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def beat_forever(self):
        while True:
            status = await self.beat()
            await asyncio.sleep(1.5 if status == 200 else 0.3)

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        self.server.close()


# --- machines ------------------------------------------------------------


def fill(text, values):
    def lookup(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return str(value)
    return re.sub(r"\{\{([\w.]+)\}\}", lookup, text)


class Machine:
    def __init__(self, mesh, name, zone, ip, service, memory_mb):
        self.mesh, self.name, self.zone, self.ip, self.service = mesh, name, zone, ip, service
        self.memory_mb = memory_mb
        self.process, self.starts, self.instance = None, 0, None

    def start(self):
        """Starts the sidecar as the deploy file says."""
        deploy = open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8").read()
        run = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split(" ")
        template = re.search(r'^template = "(.*)"$', deploy, re.M).group(1)
        environment = dict(re.findall(r'([A-Z0-9_]+) = "([^"]*)"',
                                      re.search(r"^env = \{(.*)\}$", deploy, re.M).group(1)))
        values = {"node": self.name, "zone": self.zone, "ip": self.ip, "service": self.service,
                  "portRange": [7620, 7635], "bounds": BOUNDS,
                  "limits": {"memoryMb": self.memory_mb, "maxFds": 4100},
                  "platform": {"address": self.mesh.store.address},
                  "listen": {"outbound": self.ip + ":8304", "ready": self.ip + ":8302",
                             "control": self.ip + ":8306"}}
        settings = os.path.join(self.mesh.folder, self.name + ".ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(fill(open(os.path.join(ROOT, template), encoding="utf-8").read(), values))
        variables = {"PATH": os.environ.get("PATH", ""), "HOME": self.mesh.folder,
                     "LANG": "C.UTF-8", "ZINNIAWHEEL_SETTINGS": settings}
        variables.update({name: fill(text, values) for name, text in environment.items()})
        self.starts += 1
        self.log = os.path.join(self.mesh.folder, "%s.%d.log" % (self.name, self.starts))
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, run[0])] + run[1:], cwd=ROOT,
                                            env=variables, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.mesh.record("%s starts" % self.name)

    def signal(self, number):
        self.mesh.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                request_once(self.ip, 8302, "GET", "/v1/readyz", "ready", {}, b""), 1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Mesh:
    """A deployment. NAMES lists machines as (name, zone, service)."""

    def __init__(self, record, names, memory_mb=260):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="zinnia-review-")
        prefix = free_subnet()
        self.store = Store(prefix + "2", record)
        self.machines = [Machine(self, name, zone, prefix + str(10 + index), service, memory_mb)
                         for index, (name, zone, service) in enumerate(names)]
        self.version = 0

    def machine(self, name):
        return next(machine for machine in self.machines if machine.name == name)

    async def publish(self, config):
        """The operator's write of a configuration. Returns the time of the
        store's acknowledgement."""
        self.version += random.randrange(1, 4)
        config = dict(config, version="r%d" % self.version)
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        acknowledged = now()
        self.record("operator: the store acknowledges configuration r%d" % self.version)
        return acknowledged

    async def start(self, config, instances=True, slots=6):
        await self.store.start()
        await self.publish(config)
        for machine in self.machines:
            machine.start()
            if instances:
                machine.instance = Instance(machine, machine.service, self.record, slots)
                await machine.instance.start()
        deadline = now() + 20
        while now() < deadline:
            if all([await machine.is_ready() for machine in self.machines]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the machines did not become ready")

    def close(self):
        """Ends all processes that were started."""
        for machine in self.machines:
            machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(host, prefix, service, kind="safe", timeout_ms=2000, attempts=2, target_ms=500,
          priority=1):
    return host, {"name": "r-" + prefix.strip("/"), "pathPrefix": prefix, "kind": kind,
                  "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": priority,
                  "service": service, "maxAttempts": attempts}


def configuration(services, routes, **limits):
    hosts = {}
    for host, path in routes:
        hosts.setdefault(host, []).append(path)
    values = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
              "idleTimeoutMs": 15000}
    values.update(limits)
    return {"services": [{"name": name, "healthPath": "/healthz", "maxConnections": 120,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": values,
            "virtualHosts": [{"host": host, "paths": paths} for host, paths in hosts.items()]}


def run_case(play, folder):
    """Plays a case and records it in FOLDER. PLAY returns 1 if the rule was
    broken, 0 if it held, and 2 if the case could not run."""

    def stop(number, frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    record = Record(os.path.join(folder, "record.txt"))
    try:
        code = asyncio.run(play(record))
    except Exception as failure:  # The case could not run.
        record("could not run: %r" % failure)
        code = 2
    record("exit %d" % code)
    return code


# --- clients -------------------------------------------------------------


def new_id():
    return "%016x" % random.getrandbits(64)


def encode_request(method, target, host, fields, body):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + host]
    lines += ["%s: %s" % item for item in fields.items()]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def request_once(ip, port, method, target, host, fields, body):
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 26)
    try:
        writer.write(encode_request(method, target, host, fields, body))
        return await read_message(reader)
    finally:
        writer.close()


async def call(machine, method, target, host, deadline_ms, record, body=b"", request_id=None):
    """A client attempt on a new connection. Returns the time of sending, the
    id and the answer, None if there was none."""
    request_id = request_id or new_id()
    fields = {"X-Zinniawheel-Request-Id": request_id,
              "X-Zinniawheel-Request-Deadline-Ms": str(deadline_ms)}
    sent = now()
    try:
        answer = await asyncio.wait_for(
            request_once(machine.ip, 8304, method, target, host, fields, body),
            deadline_ms / 1000)
        record("client at %s: %s %s %s -> %d" % (machine.name, request_id, method, target,
                                                 answer.status))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
        record("client at %s: %s %s %s -> %s" % (machine.name, request_id, method, target,
                                                 type(failure).__name__))
        answer = None
    return sent, request_id, answer

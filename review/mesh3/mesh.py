"""A small deployment on loopback addresses: the sidecars of the deploy file as
separate processes, and stand-ins for the store, the instances and the clients.

Every machine has a loopback address of its own, so that the ports are the same
on all machines, as on the platform."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/bin/zinnia-sidecar"
TEMPLATE = ROOT / "deploy/sidecar.ini"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")


# --- HTTP/1.1, as far as the stand-ins need it


async def read_message(reader):
    """Returns the start line, the fields and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    return lines[0], fields, await reader.readexactly(length) if length else b""


def encode(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Calls handle(method, target, fields, body) for each request, which
    returns the status, the fields and the body, or None to reset."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None

    async def listen(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port)

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                reply = await self.handle(method, target, fields, body)
                if reply is None:
                    writer.transport.abort()
                    return
                status, answer_fields, answer_body = reply
                writer.write(encode(f"HTTP/1.1 {status} -", answer_fields, answer_body))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


async def http_call(address, method, target, fields, body=b"", timeout=5.0):
    """One request on a connection of its own: (status, fields, body), or the
    reason why there is no answer."""

    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            start, answer_fields, answer_body = await read_message(reader)
            return int(start.split(" ")[1]), answer_fields, answer_body
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return type(error).__name__, {}, b""


# --- the platform's store


class Store:
    """The log with keyed topics. roll_back() is the drill of the pages: the
    store is away and comes back from an older copy."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.copies = []
        self.era = 1
        self.away = False
        # Whether calls wait while the store is away, instead of a 503.
        self.holds_calls = False
        self.changed = asyncio.Condition()

    async def listen(self, address, port):
        self.address = f"{address}:{port}"
        await HttpServer(self.handle).listen(address, port)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def append(self, topic, key, value):
        self.topic(topic).append((key, value))
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return {name: list(records) for name, records in self.topics.items()}

    async def roll_back(self, copy, away_s):
        self.away = True
        async with self.changed:
            self.changed.notify_all()
        self.record("store is away")
        await asyncio.sleep(away_s)
        lost = {
            name: [key.decode() for key, _ in records[len(copy.get(name, [])):]]
            for name, records in self.topics.items()
        }
        self.topics = {name: list(records) for name, records in copy.items()}
        self.era += 1
        self.away = False
        self.record(f"store is back, era {self.era}, lost keys {json.dumps(lost)}")

    async def handle(self, method, target, fields, body):
        status, content_type, content = await self.answer(target, body)
        return status, {"content-type": content_type, "Store-Era": self.era}, content

    def json(self, status, content):
        return status, "application/json", json.dumps(content).encode()

    async def answer(self, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        while self.away and self.holds_calls:
            await asyncio.sleep(0.01)
        if self.away:
            return self.json(503, {"why": "away"})
        await asyncio.sleep(0.004)
        name = query.get("topic", "")
        if parts.path == "/v1/log-append":
            return await self.answer_append(name, query, body)
        if parts.path == "/v1/log-newest":
            return self.answer_newest(name, query)
        if parts.path == "/v1/log-read":
            return await self.answer_read(name, query)
        return self.json(404, {})

    async def answer_append(self, name, query, body):
        if name in ("keyed.op", "keyed.servers"):
            return self.json(403, {})
        records = self.topic(name)
        if "timestamp" in query and int(query["timestamp"]) != len(records):
            return self.json(412, {"end": len(records)})
        offset = len(records)
        while body:
            length = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + length], body[4 + length :]
            key_end = 1 + content[0]
            key, value = content[1:key_end], content[key_end:]
            self.record(f"store {name} offset {len(records)}: "
                        f"{key.decode()} = {value.decode(errors='replace')[:120]}")
            await self.append(name, key, value)
        return self.json(200, {"offset": offset, "end": len(records)})

    def answer_newest(self, name, query):
        newest = {}
        records = self.topic(name)
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        after = query.get("after", "").encode()
        items = [
            {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        return self.json(200, {"items": items[:500], "more": len(items) > 500,
                               "end": len(records)})

    async def answer_read(self, name, query):
        start, era = int(query.get("from", 0)), self.era
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        if start > len(self.topic(name)):
            return self.json(410, {"first": 0})
        while (len(self.topic(name)) <= start and time.monotonic() < deadline
               and (self.holds_calls or not self.away and era == self.era)):
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(),
                                           deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        if not self.holds_calls and (self.away or era != self.era):
            return self.json(503, {"why": "away"})
        if start > len(self.topic(name)):
            return self.json(410, {"first": 0})
        records = self.topic(name)
        out = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[start:]:
            content = bytes([len(key)]) + key + value
            out += len(content).to_bytes(4, "big") + content
        return 200, "application/octet-stream", out


# --- machines


class Instance:
    """An application instance with its heartbeats."""

    def __init__(self, mesh, machine, service, instance, slots=8, work_s=0.02,
                 version="v1"):
        self.mesh, self.machine, self.service = mesh, machine, service
        self.id, self.slots, self.work_s, self.version = instance, slots, work_s, version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []
        self.beats = None

    async def start(self):
        await HttpServer(self.handle).listen(self.machine.ip, self.mesh.port["app"])
        self.beats = asyncio.create_task(self.beat())

    def heartbeat(self):
        self.sequence += 1
        return {
            "address": f"{self.machine.ip}:{self.mesh.port['app']}",
            "born": self.born,
            "info": {"service": self.service, "version": self.version,
                     "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": "ready", "sequence": self.sequence, "coldLeftMs": 0},
        }

    async def beat(self):
        while True:
            await self.machine.heartbeat(self.id, self.heartbeat())
            await asyncio.sleep(1.5)

    async def handle(self, method, target, fields, body):
        identity = {"X-Zinniawheel-Instance-Id": self.id}
        if target == "/healthz":
            return 200, identity, b""
        request = fields.get("x-zinniawheel-request-id", "")
        not_run = {"X-Zinniawheel-Not-Executed": "1", "X-Zinniawheel-Request-Id": request}
        if not request:
            return 400, not_run, b""
        if fields.get("x-zinniawheel-expected-instance", self.id) != self.id:
            return 421, {**not_run, **identity}, b""
        if self.running >= self.slots:
            return 503, not_run, b""
        self.running += 1
        self.runs.append((time.monotonic(), request, fields))
        self.mesh.record(
            f"run id={request} instance={self.id} service={self.service} "
            f"caller={fields.get('x-zinniawheel-caller-service')} "
            f"tenant={fields.get('x-zinniawheel-tenant')}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return 200, {"X-Zinniawheel-Request-Id": request,
                     "X-Zinniawheel-Response-Signature": f"sig-{request}",
                     "X-Zinniawheel-Server-Load": f"{self.running},0,{self.slots}",
                     "Keep-Alive": "timeout=10"}, b"answer of " + self.id.encode()


class Machine:
    """One machine with its sidecar."""

    def __init__(self, mesh, name, number, zone, service):
        self.mesh, self.name, self.zone, self.service = mesh, name, zone, service
        self.ip = f"127.{mesh.net}.{number // 200}.{number % 200 + 10}"
        self.process = None

    def address(self, role):
        return f"{self.ip}:{self.mesh.port[role]}"

    def settings(self):
        values = {
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "service": self.service,
            "portRange.0": self.mesh.port["peers"], "portRange.1": self.mesh.port["nodes"],
            "platform.address": self.mesh.store.address,
            "listen.outbound": self.address("outbound"),
            "listen.ready": self.address("ready"),
            "listen.control": self.address("control"),
            "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10,
            "bounds.retryBudgetSlack": 60,
        }
        text = re.sub(r"{{([^}]+)}}", lambda found: str(values[found.group(1)]),
                      TEMPLATE.read_text())
        return text.replace("port = 9464", f"port = {self.mesh.port['admin']}")

    def start(self):
        file = self.mesh.folder / f"{self.name}.ini"
        file.write_text(self.settings())
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.mesh.folder),
                       "ZINNIAWHEEL_SETTINGS": str(file),
                       "ZINNIA_SETTINGS": self.mesh.further_settings}
        log = open(self.mesh.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen([str(PROGRAM)], env=environment, stdout=log,
                                        stderr=log, cwd=ROOT)
        self.mesh.record(f"start sidecar {self.name} pid={self.process.pid}")

    async def is_ready(self):
        status, _, _ = await http_call(self.address("ready"), "GET", "/v1/readyz",
                                       {"Host": "ready"}, timeout=1)
        return status == 200

    async def heartbeat(self, instance, content):
        status, _, _ = await http_call(
            self.address("control"), "POST",
            f"/v1/rpc?call=instances.heartbeat&of={instance}",
            {"Host": "control", "Content-Type": "application/json"},
            json.dumps(content).encode(), timeout=1)
        return status

    async def send(self, path, method="GET", deadline_ms=1000, fields=(), body=b""):
        """A client of this machine sends one request."""
        request = f"{random.getrandbits(64):016x}"
        status, answer, content = await http_call(
            self.address("outbound"), method, path,
            {"Host": "shop.example", "X-Zinniawheel-Request-Id": request,
             "X-Zinniawheel-Request-Deadline-Ms": deadline_ms, **dict(fields)},
            body, timeout=deadline_ms / 1000 + 0.5)
        self.mesh.record(f"answer id={request} at={self.name} path={path} status={status} "
                         f"signature={answer.get('x-zinniawheel-response-signature')}")
        return request, status, answer, content


class Mesh:
    # The bounds that the environment of the deploy file passes on.
    further_settings = ("node.memory-limit=260,node.descriptor-limit=4100,"
                        "tenants.quota-window=,tenants.quota-overshoot=,"
                        "tenants.quota-slack=,rollout.exposure-share=,sidecar.grace=6")

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="mesh3-"))
        self.net = random.randrange(16, 240)
        self.store = Store(record)
        self.machines = []
        roles = ["app", "outbound", "ready", "control", "peers", "nodes", "admin", "store"]
        self.port = dict(zip(roles, self.free_ports(len(roles))))

    def free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = random.randrange(12000, 30000)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind(("0.0.0.0", port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
        return ports

    async def start_store(self):
        await self.store.listen(f"127.{self.net}.0.1", self.port["store"])

    def machine(self, name, zone, service):
        result = Machine(self, name, len(self.machines), zone, service)
        self.machines.append(result)
        return result

    async def put_config(self, config):
        self.record(f"operator writes op/config {config['version']}")
        await self.store.append("keyed.op", b"config", json.dumps(config).encode())

    async def await_ready(self, machines, limit_s=15):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if all([await machine.is_ready() for machine in machines]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def await_answers(self, requests, limit_s=15):
        """Waits until each (machine, path, fields) is answered with 200."""
        deadline = time.monotonic() + limit_s
        for machine, path, fields in requests:
            while (await machine.send(path, fields=fields))[1] != 200:
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.2)
        return True

    def stop(self):
        processes = [m.process for m in self.machines if m.process]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 120,
            "protocol": "h1", "tls": False}


def route(name, prefix, target, kind="safe", **further):
    return {"name": name, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1000,
            "targetLatencyMs": 400, "priority": 1, "service": target,
            "maxAttempts": 2, **further}


def config(version, services, routes, **further):
    return {"version": f"r{version}", "services": [service(name) for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "virtualHosts": [{"host": "shop.example", "paths": routes}], **further}


def run_case(case, folder):
    """Runs case(mesh), which returns HELD, BROKEN or NOT_RUN, and exits."""
    record = Record(Path(folder) / "record.txt")
    if not PROGRAM.exists():
        record("the sidecar is not built")
        sys.exit(NOT_RUN)
    mesh = Mesh(record)

    async def main():
        await mesh.start_store()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await case(mesh)

    try:
        result = asyncio.new_event_loop().run_until_complete(
            asyncio.wait_for(main(), 110))
    except Exception as error:  # pylint: disable=broad-except
        record(f"the case could not run: {error!r}")
        result = NOT_RUN
    finally:
        mesh.stop()
    record(f"result {result}")
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result], flush=True)
    # The event loop may still hold connections of the stand-ins.
    os._exit(result)

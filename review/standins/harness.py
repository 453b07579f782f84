"""Stand-ins for the platform, the instances and the clients of a small
deployment, and the processes of the project that they talk to.

Everything runs on loopback addresses: each machine has an address of its own,
and all machines use the same ports.
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
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))

# The bounds of the site kit/more/system/sites/ashcombe-buylist.toml.
MEMORY_MB = 260
BEAT_S = 1.5
STABLE_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
CONFIG_S = 2.0
RECOVER_S = 15.0
RESTART_DELAY_S = 0.3

OUTBOUND, READY, CONTROL, APP, PEERS, LAST = 0, 1, 2, 3, 4, 5


class Record:
    """The log of a run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """Reads a request or response up to the end of its header section."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if size == 0:
                return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def encode_response(status, body=b"", fields=None):
    head = f"HTTP/1.1 {status} Status\r\n"
    for name, value in (fields or {}).items():
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Answer:
    def __init__(self, status=0, body=b"", fields=None, error=""):
        self.status, self.body = status, body
        self.fields, self.error = fields or {}, error


async def call(address, method, target, fields=None, body=b"", timeout=5.0):
    """Sends one request on a new connection."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            head = f"{method} {target} HTTP/1.1\r\n"
            for name, value in (fields or {}).items():
                head += f"{name}: {value}\r\n"
            if body or method in ("POST", "PUT"):
                head += f"Content-Length: {len(body)}\r\n"
            writer.write((head + "\r\n").encode() + body)
            line, received = await read_head(reader)
            return Answer(int(line.split()[1]),
                          await read_body(reader, received), received)
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError,
            TimeoutError) as error:
        return Answer(error=type(error).__name__)
    finally:
        if writer:
            writer.close()


# ---------------------------------------------------------------- store

class Store:
    """The platform's metadata store: a log of topics, as PROTOCOL.md tells.
    Only partition 0 of keyed topics is used here."""

    def __init__(self, address):
        self.address = address
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def append(self, topic, records):
        async with self.changed:
            log = self.topics.setdefault(topic, [])
            offset = len(log)
            log.extend(records)
            self.changed.notify_all()
        return offset, offset + len(records)

    async def put(self, topic, key, value):
        await self.append(topic,
                          [bytes([len(key)]) + key.encode() + value.encode()])

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split()
                path, _, query = target.partition("?")
                values = dict(part.partition("=")[::2]
                              for part in query.split("&") if part)
                writer.write(await self.answer(path, values, body))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, path, values, body):
        topic = values.get("topic", "")
        if path == "/v1/log-append":
            records = []
            while body:
                length = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + length])
                body = body[4 + length:]
            offset, end = await self.append(topic, records)
            return encode_response(
                200, json.dumps({"offset": offset, "end": end}).encode())
        if path == "/v1/log-newest":
            return encode_response(200, self.newest(topic, values))
        if path == "/v1/log-read":
            return await self.read(topic, values)
        return encode_response(404)

    def newest(self, topic, values):
        import base64
        from urllib.parse import unquote
        found = {}
        log = self.topics.get(topic, [])
        for offset, record in enumerate(log):
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            if value:
                found[key] = (value, offset)
            else:
                found.pop(key, None)
        after = unquote(values.get("after", ""))
        names = [name for name in sorted(found) if name > after]
        items = [{"key": name,
                  "value": base64.b64encode(found[name][0]).decode(),
                  "offset": found[name][1]} for name in names[:500]]
        return json.dumps({"items": items, "more": len(names) > 500,
                           "end": len(log)}).encode()

    async def read(self, topic, values):
        position = int(values.get("from", 0))
        wait = min(int(values.get("waitMs", 0)), 30000) / 1000
        log = self.topics.setdefault(topic, [])
        if len(log) <= position and wait > 0:
            try:
                async with asyncio.timeout(wait):
                    async with self.changed:
                        await self.changed.wait_for(
                            lambda: len(log) > position)
            except TimeoutError:
                pass
        out = struct.pack(">QQ", len(log), 0)
        for record in log[position:]:
            out += struct.pack(">I", len(record)) + record
        return encode_response(200, out)


# ---------------------------------------------------------------- instances

class Instance:
    """An instance beside a machine. It records each request that it begins to
    work on."""

    def __init__(self, world, machine, service, number, slots=6):
        self.world, self.machine, self.service = world, machine, service
        self.id = f"i-{number:08x}"
        self.slots = slots
        self.address = (machine.ip, world.port(APP))
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.busy = 0
        self.writers = set()
        self.server = None
        self.beats = None
        self.dark = False
        self.held = []

    def fall_silent(self):
        """From now on nothing is read or answered, and no connection ends."""
        self.dark = True
        self.beats.cancel()
        self.world.record.write(f"instance {self.id} falls silent")

    def release_address(self):
        self.server.close()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.address, limit=1 << 20)
        self.beats = asyncio.create_task(self.beat_forever())
        self.world.record.write(f"instance {self.id} {self.service} starts at "
                                f"{self.machine.name}")

    async def stop(self):
        """Ends like a process that is killed."""
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.world.record.write(f"instance {self.id} ends")

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({
            "address": f"{self.address[0]}:{self.address[1]}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "coldLeftMs": 0}}).encode()

    async def send(self, name, body, timeout=1.0):
        answer = await call(
            self.machine.control, "POST", f"/v1/rpc?call={name}&of={self.id}",
            {"Host": "control", "Content-Type": "application/json"}, body,
            timeout)
        return 200 <= answer.status < 300

    async def beat(self):
        return await self.send("instances.heartbeat", self.heartbeat())

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                if self.dark:
                    await self.hang(reader, writer)
                line, fields = await read_head(reader)
                if self.dark:
                    await self.hang(reader, writer)
                body = await read_body(reader, fields)
                method, target, _ = line.split()
                await self.handle(method, target, fields, body, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def hang(self, reader, writer):
        self.held.append((reader, writer))
        await asyncio.Event().wait()

    async def handle(self, method, target, fields, body, writer):
        request = fields.get("x-zinniawheel-request-id", "")
        echo = {"X-Zinniawheel-Request-Id": request}
        expected = fields.get("x-zinniawheel-expected-instance", self.id)
        load = f"{self.busy},0,{self.slots}"
        if expected != self.id:
            writer.write(encode_response(
                421, b"", {**echo, "X-Zinniawheel-Not-Executed": "1",
                           "X-Zinniawheel-Instance-Id": self.id}))
            return
        if self.busy >= self.slots:
            writer.write(encode_response(
                503, b"", {**echo, "X-Zinniawheel-Not-Executed": "1",
                           "X-Zinniawheel-Server-Load": load}))
            return
        self.busy += 1
        self.world.record.write(
            f"runs {request} {method} {target} at {self.id} {self.service} "
            f"caller={fields.get('x-zinniawheel-caller-service')} "
            f"body={len(body)} "
            f"deadline={fields.get('x-zinniawheel-request-deadline-ms')}")
        self.world.runs.append((self.world.record.now(), request, self))
        try:
            match = re.search(r"work=(\d+)", target)
            await asyncio.sleep(int(match.group(1)) / 1000 if match else 0.005)
            if self.dark:
                await asyncio.Event().wait()
            content = f"{request} by {self.id}".encode()
            writer.write(encode_response(
                200, content,
                {**echo, "X-Zinniawheel-Response-Signature":
                 f"{self.id}.{len(content)}",
                 "X-Zinniawheel-Server-Load": load}))
        finally:
            self.busy -= 1


# ---------------------------------------------------------------- machines

class Machine:
    """A machine with its process of the project."""

    def __init__(self, world, name, zone, ip, service):
        self.world, self.name, self.zone = world, name, zone
        self.ip, self.service = ip, service
        self.process = None
        self.ready = False
        self.started = None
        self.log = open(os.path.join(world.folder, f"{name}.log"), "ab")
        self.settings = os.path.join(world.folder, f"{name}.ini")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(world.render(self))

    @property
    def outbound(self):
        return (self.ip, self.world.port(OUTBOUND))

    @property
    def control(self):
        return (self.ip, self.world.port(CONTROL))

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME")
                       if name in os.environ}
        environment["ZINNIAWHEEL_SETTINGS"] = self.settings
        self.process = subprocess.Popen(
            self.world.command, cwd=REPOSITORY, env=environment,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.started = self.world.record.now()
        self.ready = False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def term(self):
        """SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        self.kill()

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except (OSError, ValueError):
            pass
        return 0.0


class World:
    """A deployment: the store, machines and instances of one run."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="zinnia-review-")
        self.machines = []
        self.runs = []
        self.tasks = []
        self.ports = self.find_ports()
        # A run uses addresses of its own, so that runs don't disturb another.
        self.block = random.randrange(16, 250)
        self.subnet = random.randrange(0, 200)
        self.store = Store(("127.0.0.1", self.ports[0] + LAST))
        deploy = os.path.join(REPOSITORY, "deploy")
        with open(os.path.join(deploy, "system.toml"), encoding="utf-8") as f:
            text = f.read()
        self.command = re.search(r'^run = "(.*)"', text, re.M).group(1).split()
        self.command[0] = os.path.join(REPOSITORY, self.command[0])
        template = re.search(r'^template = "(.*)"', text, re.M).group(1)
        with open(os.path.join(REPOSITORY, template), encoding="utf-8") as f:
            self.template = f.read()

    def port(self, index):
        return self.ports[0] + index

    def ip(self, number):
        return f"127.{self.block}.{self.subnet + number // 200}.{number % 200 + 1}"

    @staticmethod
    def find_ports():
        """A range of free ports."""
        for _ in range(200):
            first = random.randrange(20000, 30000, 20)
            sockets = []
            try:
                for offset in range(20):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        tried = socket.socket(socket.AF_INET, kind)
                        sockets.append(tried)
                        tried.bind(("127.0.0.1", first + offset))
                return (first, first + 19)
            except OSError:
                continue
            finally:
                for tried in sockets:
                    tried.close()
        raise OSError("no free ports")

    def render(self, machine):
        values = {
            "node": machine.name, "zone": machine.zone, "ip": machine.ip,
            "service": machine.service,
            "platform.address": f"127.0.0.1:{self.port(LAST)}",
            "portRange.0": self.port(PEERS), "portRange.1": self.port(10),
            "listen.outbound": f"{machine.ip}:{self.port(OUTBOUND)}",
            "listen.ready": f"{machine.ip}:{self.port(READY)}",
            "listen.control": f"{machine.ip}:{self.port(CONTROL)}",
            "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10,
            "bounds.retryBudgetSlack": 60}
        text = re.sub(r"\{\{([^}]+)\}\}",
                      lambda found: str(values[found.group(1)]), self.template)
        # The metrics port is fixed in the template. Each machine has its own
        # address, so it may be the same on all of them.
        return text

    def add_machine(self, name, zone, ip, service):
        machine = Machine(self, name, zone, ip, service)
        self.machines.append(machine)
        return machine

    async def put_config(self, config):
        await self.store.put("keyed.op", "config", json.dumps(config))
        self.record.write(f"operator config {config['version']} acknowledged")

    async def watch_readiness(self, machines, interval=1.0):
        """Asks the machines once per second, as the platform does."""
        async def ask(machine):
            while True:
                answer = await call((machine.ip, self.port(READY)), "GET",
                                    "/v1/readyz", {"Host": "ready"},
                                    timeout=1.0)
                machine.ready = answer.status == 200
                await asyncio.sleep(interval)
        for machine in machines:
            self.tasks.append(asyncio.create_task(ask(machine)))

    async def wait_ready(self, machines, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(machine.ready for machine in machines):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()
            machine.log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_config(version, routes, services, body_limit=67108864):
    """A configuration with routes (host, prefix, service, kind, timeout,
    target latency)."""
    hosts = {}
    for host, prefix, service, kind, timeout, target in routes:
        hosts.setdefault(host, []).append({
            "name": "r-" + prefix.strip("/"), "pathPrefix": prefix,
            "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target,
            "priority": 1, "service": service, "maxAttempts": 2})
    return {"version": f"r{version}",
            "services": [{"name": name, "healthPath": "/healthz",
                          "maxConnections": 120, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": body_limit,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "virtualHosts": [{"host": host, "paths": paths}
                             for host, paths in hosts.items()]}


def new_id():
    return f"{random.getrandbits(64):016x}"


async def request(world, machine, method, host, target, deadline_ms,
                  body=b"", name="", quiet=False):
    """One client attempt at the machine, on a new connection."""
    identity = new_id()
    if not quiet:
        world.record.write(f"sent {identity} {name} {method} {host}{target} "
                           f"to {machine.name}")
    answer = await call(machine.outbound, method, target, {
        "Host": host, "X-Zinniawheel-Request-Id": identity,
        "X-Zinniawheel-Request-Deadline-Ms": deadline_ms}, body,
        deadline_ms / 1000 + 0.5)
    if not quiet:
        world.record.write(
            f"answer {identity} {answer.status or answer.error} "
            f"{answer.body[:60].decode('latin-1').strip()}")
    return identity, answer


def main(case, scenario):
    """Runs a scenario: 0 the rule held, 1 it was broken, 2 it couldn't run."""
    import sys

    def end(number, _frame):
        raise SystemExit(128 + number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end)
    record = Record(os.path.join(os.path.dirname(os.path.abspath(case)),
                                 "record.txt"))
    world = None
    code = 2
    try:
        world = World(record)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record.write(f"trouble={int(trouble)} command={world.command[0].rsplit('/', 1)[-1]}")

        async def bounded():
            await world.store.start()
            async with asyncio.timeout(115):
                return await scenario(world, trouble)
        code = asyncio.run(bounded())
    except Exception as error:  # The case couldn't run.
        record.write(f"could not run: {type(error).__name__} {error}")
        print("could not run:", type(error).__name__, error)
    finally:
        if world:
            world.close()
    record.write(f"exit code {code}")
    sys.stdout.flush()
    # Skips the clean-up of tasks that the end of the loop has left open.
    os._exit(code)

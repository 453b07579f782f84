"""Publishes changes and measures them; run by convergence.sh."""

import os
import random
import re
import signal
import subprocess
import sys
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor

SERVICES = 92
ROUTES = 200
LIMIT = 20.0
IDLE = 5.0


class Node:
    def __init__(self, name, pid, admin):
        self.name, self.pid, self.admin = name, int(pid), admin
        self.alive = True

    def status(self):
        try:
            url = f"http://{self.admin}/v1/status"
            with urllib.request.urlopen(url, timeout=5) as answer:
                return answer.read().decode()
        except OSError:
            return ""


def number(text, key):
    found = re.search(rf"^{key} = (\d+)$", text, re.M)
    return int(found.group(1)) if found else 0


def traffic(nodes, pool):
    """Sums messages and bytes by kind."""
    sums = {}
    for text in pool.map(Node.status, nodes):
        part = re.search(r"\[config-traffic\]\n((?:\S+ = .* bytes\n)*)", text)
        for line in (part.group(1) if part else "").splitlines():
            kind, messages, size = re.match(
                r"(\S+) = (\d+) messages (\d+) bytes", line).groups()
            old = sums.get(kind, (0, 0))
            sums[kind] = (old[0] + int(messages), old[1] + int(size))
    return sums


def write_set(path, change):
    with open(path, "w") as out:
        out.write("[retry none]\nattempts = 1\n[kind read]\nidempotent = yes\n"
                  "deadline = 2s\nretry = none\n")
        for i in range(SERVICES):
            out.write(f"[service service-{i}]\n")
        for i in range(ROUTES):
            service = (i + (change if i == change % ROUTES else 0)) % SERVICES
            out.write(f"[route route-{i}]\nprefix = /path/{i}/\n"
                      f"service = service-{service}\nkind = read\n")


def publish(tool, log, path):
    done = subprocess.run([tool, "--log", log, "publish", path],
                          capture_output=True, text=True, timeout=30)
    if done.returncode != 0:
        sys.exit(f"publish failed: {done.stderr}")
    return int(done.stdout.split()[-1])


def append_time(log, version):
    url = f"{log}/v1/streams/config/records?from={version}&wait-ms=0"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return int(answer.readline().split()[1])


def wait_in_force(nodes, version, pool):
    """Returns when each node took the version, in microseconds."""
    end = time.monotonic() + LIMIT
    while time.monotonic() < end:
        texts = list(pool.map(Node.status, [n for n in nodes if n.alive]))
        if all(number(t, "version") == version for t in texts):
            return [number(t, "in-force-since-us") for t in texts]
        time.sleep(0.02)
    sys.exit(f"version {version} was not in force everywhere in {LIMIT} s")


def reader_of(run, nodes, centre):
    for node in nodes:
        if node.alive and node.name.startswith(centre):
            with open(f"{run}/{node.name}.log") as lines:
                text = lines.read()
            if (text.rfind("this node reads the log")
                    > text.rfind("another node reads the log")):
                return node
    sys.exit(f"no reader in {centre}")


def show(label, times):
    times = sorted(times)
    p99 = times[min(len(times) - 1, int(len(times) * 0.99))]
    print(f"{label}: p50 {times[len(times) // 2] / 1000:.1f} ms, "
          f"p99 {p99 / 1000:.1f} ms, highest {times[-1] / 1000:.1f} ms, "
          f"{len(times)} changes")


def main():
    tool, run, log, changes, kills, how = sys.argv[1:]
    with open(f"{run}/nodes") as lines:
        nodes = [Node(*line.split()) for line in lines]
    path = f"{run}/set.ini"
    pool = ThreadPoolExecutor(8)
    end = time.monotonic() + 30
    while not all(pool.map(Node.status, nodes)) and time.monotonic() < end:
        time.sleep(0.1)
    write_set(path, 0)
    print(f"{len(nodes)} nodes, set of {os.path.getsize(path)} bytes as text")
    wait_in_force(nodes, publish(tool, log, path), pool)
    time.sleep(IDLE)
    before = traffic(nodes, pool)
    time.sleep(IDLE)
    idle = traffic(nodes, pool)
    total = sum(b - before.get(k, (0, 0))[1] for k, (_, b) in idle.items())
    print(f"idle: {total / IDLE / len(nodes):.1f} bytes/s a node")

    last, began = [], time.monotonic()
    for change in range(1, int(changes) + 1):
        write_set(path, change)
        version = publish(tool, log, path)
        times = wait_in_force(nodes, version, pool)
        last.append(max(times) - append_time(log, version))
    length = time.monotonic() - began
    if last:
        show("log to force on the last node", last)
    after = traffic(nodes, pool)
    share = total / IDLE * length
    grown = 0
    for kind, (count, size) in sorted(after.items()):
        old = idle.get(kind, (0, 0))
        if count > old[0]:
            print(f"  {kind}: {(count - old[0]) / int(changes):.1f} messages, "
                  f"{(size - old[1]) / int(changes):.0f} bytes a change")
        if not kind.startswith("received-"):
            grown += size - old[1]
    if last:
        print(f"sent or read in all: {(grown - share) / int(changes):.0f} "
              f"bytes a change, {length:.0f} s, idle traffic taken off")

    killed = []
    for change in range(int(kills)):
        time.sleep(3)
        write_set(path, int(changes) + 1 + change)
        reader = reader_of(run, nodes, "derby")
        with ThreadPoolExecutor(1) as one:
            publishing = one.submit(publish, tool, log, path)
            time.sleep(random.uniform(0, 0.02))
            os.kill(reader.pid, getattr(signal, f"SIG{how}"))
            reader.alive = False
            version = publishing.result()
        times = wait_in_force(nodes, version, pool)
        killed.append(max(0, max(times) - append_time(log, version)))
        print(f"  {reader.name} {how}: {killed[-1] / 1000:.1f} ms")
    if killed:
        show(f"with the reader's {how}", killed)
    if how == "STOP" and killed:
        began = time.monotonic()
        for node in nodes:
            if not node.alive:
                os.kill(node.pid, signal.SIGCONT)
                node.alive = True
        wait_in_force(nodes, version, pool)
        print(f"all woken nodes have it after "
              f"{(time.monotonic() - began) * 1000:.0f} ms")


main()

"""Publishes changes of a set and measures their replication.

convergence.sh starts the mesh and runs this script.
"""

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


def status_number(text, key):
    """Returns the value of a line of the status page, or 0 without the line."""
    match = re.search(rf"^{key} = (\d+)$", text, re.M)
    return int(match.group(1)) if match else 0


def traffic(nodes, pool):
    """Returns the messages and bytes of all nodes by kind."""
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
    """Writes a set in which one route depends on the number of the change."""
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
    """Publishes a set and returns its version."""
    result = subprocess.run([tool, "--log", log, "publish", path],
                            capture_output=True, text=True, timeout=30)
    if result.returncode != 0:
        sys.exit(f"publish failed: {result.stderr}")
    return int(result.stdout.split()[-1])


def append_time(log, version):
    """Returns when the log stored a version, in microseconds."""
    url = f"{log}/v1/streams/config/records?from={version}&wait-ms=0"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return int(answer.readline().split()[1])


def wait_in_force(nodes, version, pool):
    """Returns when the version came into force on each node, in microseconds."""
    end = time.monotonic() + LIMIT
    while time.monotonic() < end:
        texts = list(pool.map(Node.status, [n for n in nodes if n.alive]))
        if all(status_number(t, "version") == version for t in texts):
            return [status_number(t, "in-force-since-us") for t in texts]
        time.sleep(0.02)
    sys.exit(f"version {version} was not in force everywhere in {LIMIT} s")


def find_reader(run, nodes, centre):
    """Returns the node whose log says that it reads the log for a data centre."""
    for node in nodes:
        if node.alive and node.name.startswith(centre):
            with open(f"{run}/{node.name}.log") as lines:
                text = lines.read()
            if (text.rfind("this node reads the log")
                    > text.rfind("another node reads the log")):
                return node
    sys.exit(f"no reader in {centre}")


def print_quantiles(label, times):
    """Prints quantiles of times given in microseconds."""
    times = sorted(times)
    p99 = times[min(len(times) - 1, int(len(times) * 0.99))]
    print(f"{label}: p50 {times[len(times) // 2] / 1000:.1f} ms, "
          f"p99 {p99 / 1000:.1f} ms, highest {times[-1] / 1000:.1f} ms, "
          f"{len(times)} changes")


def main():
    tool, run, log, changes, kills, signal_name = sys.argv[1:]
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

    delays, start = [], time.monotonic()
    for change in range(1, int(changes) + 1):
        write_set(path, change)
        version = publish(tool, log, path)
        times = wait_in_force(nodes, version, pool)
        delays.append(max(times) - append_time(log, version))
    length = time.monotonic() - start
    if delays:
        print_quantiles("append until in force on the last node", delays)
    after = traffic(nodes, pool)
    idle_bytes = total / IDLE * length
    change_bytes = 0
    for kind, (count, size) in sorted(after.items()):
        old = idle.get(kind, (0, 0))
        if count > old[0]:
            print(f"  {kind}: {(count - old[0]) / int(changes):.1f} messages, "
                  f"{(size - old[1]) / int(changes):.0f} bytes a change")
        if not kind.startswith("received-"):
            change_bytes += size - old[1]
    if delays:
        print(f"sent or read in total: "
              f"{(change_bytes - idle_bytes) / int(changes):.0f} bytes a change, "
              f"{length:.0f} s, without idle traffic")

    disrupted = []
    for change in range(int(kills)):
        time.sleep(3)
        write_set(path, int(changes) + 1 + change)
        reader = find_reader(run, nodes, "derby")
        with ThreadPoolExecutor(1) as executor:
            publishing = executor.submit(publish, tool, log, path)
            time.sleep(random.uniform(0, 0.02))
            os.kill(reader.pid, getattr(signal, f"SIG{signal_name}"))
            reader.alive = False
            version = publishing.result()
        times = wait_in_force(nodes, version, pool)
        disrupted.append(max(0, max(times) - append_time(log, version)))
        print(f"  {reader.name} {signal_name}: {disrupted[-1] / 1000:.1f} ms")
    if disrupted:
        print_quantiles(f"with the reader's {signal_name}", disrupted)
    if signal_name == "STOP" and disrupted:
        start = time.monotonic()
        for node in nodes:
            if not node.alive:
                os.kill(node.pid, signal.SIGCONT)
                node.alive = True
        wait_in_force(nodes, version, pool)
        print(f"all resumed nodes have it after "
              f"{(time.monotonic() - start) * 1000:.0f} ms")


main()

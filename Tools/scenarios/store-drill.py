"""The store comes back from an older copy, under real processes.

Sidecars follow a stand-in of the store. It loses versions that all of them had in
force; the newest one is written again, and a newer one after it. All nodes have
to hold that one, and keep to it, within the time that a version has.
"""

import argparse
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TOPIC, KEY = "keyed.op", "config"
# A version is in force after this time, or once the nodes are in touch again.
APPLY_S = 2
STABLE_WINDOW_S = 3
START_S = 30
ROLES = ["app", "calls", "ready", "control", "peers", "nodes", "admin", "store", "drill"]


def free_ports(count):
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


def configuration(number):
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
              "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    services = [{"name": "prices", "healthPath": "/healthz"}]
    return json.dumps({"version": f"r{number}", "services": services, "limits": limits,
                       "virtualHosts": []}).encode()


class Trial:
    def __init__(self, binaries, folder, nodes, data_centres):
        self.binaries, self.folder = binaries, folder
        self.net = random.randrange(16, 240)
        self.port = dict(zip(ROLES, free_ports(len(ROLES))))
        self.store = f"127.{self.net}.0.1"
        self.processes = {}
        self.start("store", ["zinnia-standin-store", "--address", self.store, "--port",
                             str(self.port["store"]), "--control-port",
                             str(self.port["drill"])], {})
        self.nodes = {f"node-{index}": (f"127.{self.net}.1.{index + 10}",
                                        f"dc-{index % data_centres}")
                      for index in range(nodes)}
        for name in self.nodes:
            self.start_node(name)

    def start(self, name, command, environment):
        log = open(self.folder / f"{name}.log", "a", encoding="utf-8")
        command[0] = str(self.binaries / command[0])
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env={**os.environ, **environment})

    def start_node(self, name):
        address, data_centre = self.nodes[name]
        values = {"node": name, "zone": data_centre, "ip": address, "service": "prices",
                  "portRange.0": self.port["peers"], "portRange.1": self.port["nodes"],
                  "platform.address": f"{self.store}:{self.port['store']}",
                  "listen.outbound": f"{address}:{self.port['calls']}",
                  "listen.ready": f"{address}:{self.port['ready']}",
                  "listen.control": f"{address}:{self.port['control']}",
                  "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10,
                  "bounds.retryBudgetSlack": 60}
        text = re.sub(r"{{([^}]+)}}", lambda found: str(values[found.group(1)]),
                      (ROOT / "deploy/sidecar.ini").read_text(encoding="utf-8"))
        file = self.folder / f"{name}.ini"
        file.write_text(text.replace("port = 9464", f"port = {self.port['admin']}"),
                        encoding="utf-8")
        self.start(name, ["zinnia-sidecar", "--settings", str(file)], {})

    def order(self, target, body=b""):
        url = f"http://{self.store}:{self.port['drill']}{target}"
        return urllib.request.urlopen(url, body, timeout=5).read()

    def write(self, number):
        self.order(f"/write?topic={TOPIC}&key={KEY}", configuration(number))

    def version(self, name):
        url = f"http://{self.nodes[name][0]}:{self.port['admin']}/v1/status"
        try:
            text = urllib.request.urlopen(url, timeout=1).read().decode()
        except OSError:
            return None
        found = re.search(r"^version = (\d+)", text, re.MULTILINE)
        return int(found.group(1)) if found else None

    def await_version(self, number, limit_s, names=None):
        """Returns the nodes that don't hold the version in time."""
        deadline = time.monotonic() + limit_s
        missing = set(names or self.nodes)
        while missing and time.monotonic() < deadline:
            missing = {name for name in missing if self.version(name) != number}
            time.sleep(0.02)
        return sorted(missing)

    def reader(self):
        """A node that reads the store for its data centre."""
        for name in self.nodes:
            readers = re.findall(r"event=config-reader now=(\S+)",
                                 (self.folder / f"{name}.log").read_text(encoding="utf-8"))
            if readers and readers[-1] != "none":
                return readers[-1]
        return None

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()


def restore(away_ms, holds):
    return (f"/restore?awayMs={away_ms}&topic={TOPIC}&key={KEY}"
            + ("&holds=1" if holds else ""))


def only_the_header_tells(trial):
    trial.order(restore(200, True), configuration(12))
    return trial.nodes


def two_drills(trial):
    trial.order(restore(100, True))
    time.sleep(0.15)
    trial.order(restore(100, True), configuration(12))
    return trial.nodes


def refused(trial):
    trial.order(restore(1000, False), configuration(12))
    return trial.nodes


def stopped_reader(trial):
    stopped = trial.reader()
    if stopped is None:
        raise SystemExit("could not run: no node follows a reader")
    trial.processes[stopped].send_signal(signal.SIGSTOP)
    trial.order(restore(200, True), configuration(12))
    return [name for name in trial.nodes if name != stopped]


CASES = {"only-the-header-tells": only_the_header_tells, "two-drills": two_drills,
         "refused": refused, "stopped-reader": stopped_reader}


def play(case, binaries, nodes):
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(binaries, Path(folder), nodes, 2)
        try:
            time.sleep(0.5)
            trial.write(9)
            if trial.await_version(9, START_S):
                raise SystemExit("could not run: the nodes did not start")
            time.sleep(STABLE_WINDOW_S)
            trial.order("/copy")
            for number in (10, 11):
                trial.write(number)
                if trial.await_version(number, START_S):
                    raise SystemExit(f"could not run: version {number} is not in force")
            time.sleep(1.5)
            checked = CASES[case](trial)
            missing = trial.await_version(12, STABLE_WINDOW_S + APPLY_S, checked)
            held = {name: trial.version(name) for name in missing}
            # The store's answer about what it held before must not take it back.
            time.sleep(1)
            held.update({name: trial.version(name) for name in checked
                         if trial.version(name) != 12})
            return held
        finally:
            trial.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("case", choices=CASES)
    parser.add_argument("--bin", required=True, type=Path)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--runs", type=int, default=1)
    options = parser.parse_args()
    failed = 0
    for run in range(options.runs):
        behind = play(options.case, options.bin, options.nodes)
        print(f"run {run + 1}: " + (f"FAILED: versions {behind}" if behind else "held"),
              flush=True)
        failed += bool(behind)
    sys.exit(1 if failed else 0)


main()

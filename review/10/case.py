"""An instance crashes, and its address goes to an instance of another service.
Checks that the requests which begin on that machine bear the new service."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "mesh2"))
from mesh import BOUNDS, call, configuration, Instance, Mesh, now, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
ROUNDS = 4
REQUESTS, INTERVAL_S = 30, 0.05


def replace_settings(deployment, machine, service):
    """The platform fills in the template for the machine's new service. It
    sends no signal."""
    path = os.path.join(deployment.folder, machine.name + ".ini")
    with open(path, encoding="utf-8") as file:
        text = file.read()
    with open(path + ".new", "w", encoding="utf-8") as file:
        file.write(text.replace("service = " + machine.service, "service = " + service))
    os.replace(path + ".new", path)


async def play(record):
    names = [("sidecar-a-1", "zone-a", "pricebook"), ("sidecar-a-2", "zone-a", "payouts"),
             ("sidecar-a-3", "zone-a", "slabdesk")]
    deployment = Mesh(record, names)
    try:
        await deployment.start(configuration(
            ["pricebook", "payouts", "slabdesk"], [route(HOST, "/grade/", "slabdesk")]))
        machine, server = deployment.machines[0], deployment.machines[2]
        wrong, checked = [], 0
        for number in range(ROUNDS):
            await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + random.uniform(0.5, 1.5))
            if TROUBLE:
                service = "payouts" if machine.service == "pricebook" else "pricebook"
                await machine.instance.stop()
                record("%s (%s) on %s crashes" % (machine.instance.id, machine.service,
                                                  machine.name))
                await asyncio.sleep(BOUNDS["reuseAfterS"] + 0.5)
                replace_settings(deployment, machine, service)
                machine.service = service
                machine.instance = Instance(machine, service, record)
                await machine.instance.start()
                status = await machine.instance.beat()
                record("%s (%s) has the address now; its heartbeat is answered with %s"
                       % (machine.instance.id, service, status))
                if status != 200:
                    return 2
            began = now()
            expected, sent = machine.service, {}
            for _ in range(REQUESTS):
                time, request_id, _ = await call(machine, "GET", "/grade/x", HOST, 1000, record)
                sent[request_id] = time
                await asyncio.sleep(INTERVAL_S)
            for run in server.instance.runs:
                if run[1] not in sent:
                    continue
                checked += 1
                caller = run[4].get("x-zinniawheel-caller-service")
                if caller != expected:
                    wrong.append(run[1])
                    record("%s sent %.3f s after the heartbeat from the machine of %s runs with "
                           "X-Zinniawheel-Caller-Service: %s"
                           % (run[1], sent[run[1]] - began, expected, caller))
        record("%d requests checked, %d run with another caller service" % (checked, len(wrong)))
        return 1 if wrong else (0 if checked > ROUNDS * REQUESTS / 2 else 2)
    finally:
        deployment.close()


sys.exit(run_case(play, HERE))

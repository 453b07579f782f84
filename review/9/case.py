"""Two machines of a zone lose power right after configurations came in quick
succession. Checks that the other machines of the zone, which are in touch,
follow the newest configuration within configApplyMs of its acknowledgement."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "mesh2"))
from mesh import BOUNDS, call, configuration, Mesh, now, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
DEADLINE_MS = 1500
ROUNDS = 8
# Pause between two configurations, as in the storms of the site file.
STORM_GAP_S = 0.06
# The machines that lose power: these two of the zone read the store.
READERS = ("sidecar-midlands-b-1", "sidecar-midlands-b-3")
LOSS_AFTER_S, LOSS_S = 0.45, 3.5
SEND_INTERVAL_S = 0.02


async def send_steadily(machine, record, sent, stopped):
    tasks = []
    while not stopped.is_set():
        async def attempt():
            time, request_id, answer = await call(machine, "GET", "/price/x", HOST, DEADLINE_MS,
                                                  record)
            sent.append((time, request_id, machine.name, answer.status if answer else None))
        tasks.append(asyncio.ensure_future(attempt()))
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*tasks)


def make_configuration(service, added):
    routes = [route(HOST, "/price/", service, timeout_ms=DEADLINE_MS)]
    routes += [route(HOST, "/added%d/" % number, "pricebook") for number in range(added)]
    return configuration(["pricebook", "payouts"], routes)


async def play(record):
    names = [("sidecar-midlands-b-1", "midlands-b", "pricebook"),
             ("sidecar-midlands-b-2", "midlands-b", "pricebook"),
             ("sidecar-midlands-b-3", "midlands-b", "payouts"),
             ("sidecar-midlands-b-4", "midlands-b", "payouts")]
    deployment = Mesh(record, names)
    try:
        service, late_rounds, checked = "pricebook", 0, 0
        await deployment.start(make_configuration(service, 0))
        victims = [deployment.machine(name) for name in READERS]
        others = [machine for machine in deployment.machines if machine not in victims]
        for number in range(ROUNDS):
            # All machines have been in touch for a while.
            await asyncio.sleep(2 * BOUNDS["stableWindowMs"] / 1000)
            sent, stopped = [], asyncio.Event()
            load = [asyncio.ensure_future(send_steadily(machine, record, sent, stopped))
                    for machine in others]
            await asyncio.sleep(0.5)
            old, service = service, "payouts" if service == "pricebook" else "pricebook"
            await deployment.publish(make_configuration(old, number + 1))
            await asyncio.sleep(STORM_GAP_S)
            acknowledged = await deployment.publish(make_configuration(service, number + 1))
            await asyncio.sleep(LOSS_AFTER_S)
            if TROUBLE:
                for machine in victims:
                    record("%s loses power" % machine.name)
                    machine.signal(signal.SIGSTOP)
            await asyncio.sleep(LOSS_S)
            if TROUBLE:
                for machine in victims:
                    machine.end()
                    machine.start()
            stopped.set()
            await asyncio.gather(*load)
            ran = {run[1]: machine.service for machine in deployment.machines
                   for run in machine.instance.runs}
            bound = acknowledged + BOUNDS["configApplyMs"] / 1000
            late = [item for item in sent if item[0] > bound and ran.get(item[1]) == old]
            for time, request_id, name, _ in late:
                record("%s sent at %s %.3f s after the acknowledgement is run by %s, which only an "
                       "older version allows" % (request_id, name, time - acknowledged, old))
            checked += sum(1 for item in sent if item[0] > bound and item[1] in ran)
            late_rounds += bool(late)
            record("round %d: %d requests late" % (number, len(late)))
        record("%d of %d rounds broke the rule; %d requests checked"
               % (late_rounds, ROUNDS, checked))
        return 1 if late_rounds else (0 if checked > 100 else 2)
    finally:
        deployment.close()


sys.exit(run_case(play, HERE))

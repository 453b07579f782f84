"""The instance that takes uploads is replaced by one on another machine.
Checks that uploads within maxBodyBytes are still accepted."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "mesh2"))
from mesh import BOUNDS, call, configuration, Instance, Mesh, now, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
DEADLINE_MS = 2500
# An eighth of maxBodyBytes (67,108,864).
BODY = b"y" * 8_388_608
UPLOADS = 24


async def play(record):
    # The second machine's instance is the one that joins.
    names = [("sidecar-a-1", "zone-a", "tradecredit"), ("sidecar-a-2", "zone-a", "tradecredit"),
             ("sidecar-a-3", "zone-a", "pricebook")]
    deployment = Mesh(record, names)
    try:
        await deployment.start(configuration(
            ["pricebook", "tradecredit"],
            [route(HOST, "/credit/", "tradecredit", kind="unsafe", timeout_ms=DEADLINE_MS)]),
            instances=False)
        first, second, third = deployment.machines
        for machine in (first, third):
            machine.instance = Instance(machine, machine.service, record)
            await machine.instance.start()
        await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + 1)
        if TROUBLE:
            second.instance = Instance(second, second.service, record)
            await second.instance.start()
            await asyncio.sleep(1)
            first.instance.state = "draining"
            status = await first.instance.beat()
            record("%s on %s drains; its heartbeat is answered with %s"
                   % (first.instance.id, first.name, status))
            await asyncio.sleep(BOUNDS["drainMs"] / 1000)
            await first.instance.call("instances.deregister", {"born": first.instance.born})
            await first.instance.stop()
            record("%s has left" % first.instance.id)
            await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000)
        answers = []
        for _ in range(UPLOADS):
            _, request_id, answer = await call(first, "PUT", "/credit/x", HOST, DEADLINE_MS,
                                               record, BODY)
            answers.append(answer.status if answer else None)
            await asyncio.sleep(0.1)
        denied = [status for status in answers if status and 300 <= status < 500
                  and status not in (408, 421, 429)]
        limit = 5 + UPLOADS / 500
        record("%d uploads of %d bytes, %d answered with 200, %d with a 3xx or 4xx: %s"
               % (UPLOADS, len(BODY), answers.count(200), len(denied), sorted(set(denied))))
        return 1 if len(denied) > limit else (0 if answers.count(200) > UPLOADS / 2 else 2)
    finally:
        deployment.close()


sys.exit(run_case(play, HERE))

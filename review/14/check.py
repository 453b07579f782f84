"""A heartbeat of another writer, whose zone is missing, reaches the control
address of a machine. Checks that the machine's calls still bear its service."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "mesh3"))
import mesh as m  # noqa: E402


async def case(mesh):
    routes = [m.route("prices", "/prices/", "pricebook"),
              m.route("payouts", "/payouts/", "payouts")]
    await mesh.put_config(m.config(3, ["pricebook", "payouts"], routes))
    machines = [mesh.machine("side-1", "midlands-a", "pricebook"),
                mesh.machine("side-2", "midlands-a", "payouts"),
                mesh.machine("side-3", "midlands-b", "pricebook"),
                mesh.machine("side-4", "midlands-b", "payouts")]
    for machine in machines:
        machine.start()
    instances = [m.Instance(mesh, machine, machine.service, f"i-{machine.name}")
                 for machine in machines]
    for instance in instances:
        await instance.start()
    calls = [(machine, path, {}) for machine in machines
             for path in ("/prices/1", "/payouts/1")]
    if not (await mesh.await_ready(machines) and await mesh.await_answers(calls)):
        return m.NOT_RUN
    await asyncio.sleep(4)
    if m.TROUBLE:
        forged = {"address": f"{machines[0].ip}:{mesh.port['store']}",
                  "born": int(time.time() * 1000),
                  "info": {"service": "payouts", "version": "v1", "slots": 8},
                  "status": {"state": "ready", "sequence": 1, "coldLeftMs": 0}}
        status = await machines[0].heartbeat("i-other", forged)
        mesh.record(f"heartbeat of another writer, without a zone, at side-1: {status}")
    await asyncio.sleep(4)
    sent_at = time.monotonic()
    senders = {}
    answered = {machine.name: 0 for machine in machines}
    for _ in range(50):
        for machine in machines:
            for path in ("/prices/2", "/payouts/2"):
                request, status, _, _ = await machine.send(path)
                senders[request] = machine
                answered[machine.name] += status == 200
        await asyncio.sleep(0.1)
    wrong, runs_at = 0, {}
    for instance in instances:
        runs = [run for run in instance.runs if run[0] >= sent_at]
        runs_at[instance.id] = len(runs)
        for _, request, fields in runs:
            if request in senders:
                named = fields.get("x-zinniawheel-caller-service")
                wrong += named != senders[request].service
    mesh.record(f"requests {len(senders)}, answered 200 by machine {answered}, runs by "
                f"instance {runs_at}, runs in the name of another service {wrong}")
    return m.BROKEN if wrong > 0 else m.HELD


m.run_case(case, Path(__file__).resolve().parent)

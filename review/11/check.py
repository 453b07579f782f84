"""The store is away for a moment and comes back from an older copy. The operator
writes its newest configuration again, and then a newer one. Checks that all
machines follow the newer one."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "mesh3"))
import mesh as m  # noqa: E402

STABLE_WINDOW_S, CONFIG_APPLY_S = 3, 2
AWAY_S = 0.2


def version(number, service, timeout_ms=1000):
    return m.config(number, ["pricebook", "payouts"],
                    [m.route("prices", "/prices/", service, timeoutMs=timeout_ms)])


async def case(mesh):
    mesh.store.holds_calls = True
    await mesh.put_config(version(9, "pricebook"))
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
    calls = [(machine, "/prices/1", {}) for machine in machines]
    if not (await mesh.await_ready(machines) and await mesh.await_answers(calls)):
        return m.NOT_RUN
    await asyncio.sleep(3)
    copy = mesh.store.copy()
    await mesh.put_config(version(10, "pricebook", 1100))
    await asyncio.sleep(0.3)
    await mesh.put_config(version(11, "pricebook", 1200))
    await asyncio.sleep(3)
    if m.TROUBLE:
        await mesh.store.roll_back(copy, AWAY_S)
        await mesh.put_config(version(11, "pricebook", 1200))
    await mesh.put_config(version(12, "payouts"))
    acknowledged = time.monotonic()
    await asyncio.sleep(STABLE_WINDOW_S + CONFIG_APPLY_S + 1)
    sent = {}
    for _ in range(50):
        for machine in machines:
            request, _, _, _ = await machine.send("/prices/2")
            sent[request] = machine.name
        await asyncio.sleep(0.1)
    old = {}
    for instance in instances:
        for _, request, _ in instance.runs:
            if request in sent and instance.service == "pricebook":
                old[sent[request]] = old.get(sent[request], 0) + 1
    mesh.record(f"requests {len(sent)}, sent {STABLE_WINDOW_S + CONFIG_APPLY_S + 1} s to "
                f"{time.monotonic() - acknowledged:.0f} s after the acknowledgement of r12; "
                f"run by the old service, by machine: {old}")
    return m.BROKEN if old else m.HELD


m.run_case(case, Path(__file__).resolve().parent)

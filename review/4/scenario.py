"""The process of a machine is killed after it has acknowledged that its
instance is gone. A heartbeat that the instance sent before arrives late."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins"))
import harness  # noqa: E402

HOST = "shop.example"
LATE_S = 2.5


async def scenario(world, trouble):
    record = world.record
    await world.put_config(harness.make_config(
        3, [(HOST, "/lookup/", "pricebook", "safe", 1000, 500)],
        ["pricebook", "payouts"]))
    services = ["pricebook", "pricebook", "payouts"]
    machines = [world.add_machine(f"sidecar-{number}", "midlands-a",
                                  world.ip(number), service)
                for number, service in enumerate(services)]
    for machine in machines:
        machine.start()
    await world.watch_readiness(machines)
    if not await world.wait_ready(machines):
        return 2
    instances = []
    for number, machine in enumerate(machines):
        instances.append(harness.Instance(world, machine, machine.service,
                                          number + 1))
        await instances[-1].start()
    await asyncio.sleep(3)

    tasks = set()

    async def clients():
        while True:
            task = asyncio.create_task(harness.request(
                world, machines[2], "GET", HOST, "/lookup/x?work=50", 1000,
                name="price-lookup"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.05)

    load = asyncio.create_task(clients())
    await asyncio.sleep(4)

    leaving, machine = instances[0], machines[0]
    leaving.beats.cancel()
    late = leaving.heartbeat()
    record.write(f"instance {leaving.id} sends its last heartbeat, which "
                 f"arrives {LATE_S} s later: {late.decode()}")
    sent = record.now()
    body = b'{"born":%d}' % leaving.born
    if not await leaving.send("instances.deregister", body):
        return 2
    acknowledged = record.now()
    record.write(f"{machine.name} acknowledged that {leaving.id} is gone")
    await asyncio.sleep(0.3)
    if trouble:
        record.write(f"the process of {machine.name} is killed")
        machine.kill()
        await asyncio.sleep(harness.RESTART_DELAY_S)
        machine.start()
        back = record.now()
    else:
        back = record.now()
    await asyncio.sleep(max(0.0, sent + LATE_S - record.now()))
    answer = await leaving.send("instances.heartbeat", late)
    record.write(f"the late heartbeat arrives; answered with 2xx: {answer}")
    # The instance serves on for some seconds and exits.
    await asyncio.sleep(9)
    load.cancel()
    await asyncio.sleep(1)

    after_limit = [moment for moment, _, instance in world.runs
                   if instance is leaving and
                   moment > acknowledged + harness.DRAIN_S]
    in_touch = [moment for moment in after_limit
                if moment > back + harness.STABLE_S]
    text = (f"requests that reached the instance later than "
            f"{harness.DRAIN_S:.0f} s after the acknowledgement: "
            f"{len(after_limit)}; of these, later than "
            f"{harness.STABLE_S:.0f} s after the start of its machine's "
            f"process: {len(in_touch)}")
    record.write(text)
    print(text)
    return 1 if in_touch else 0


harness.main(__file__, scenario)

"""Acknowledged commits are lost: a replica restarts, and so receives again,
between the moment at which a takeover has paused it and the promotion."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from world import Group, run_case, write_forever  # noqa: E402


async def play(world, trouble):
    group = Group(world, "ledger", ["i-a", "i-b", "i-c"])
    world.groups.append(group)
    await world.start(3)
    await world.until(world.holder, 10, "a duty holder")
    for n, p in enumerate(world.processes):
        world.tasks.append(asyncio.ensure_future(write_forever(world, group, p, n, 0.05)))
    await world.until(lambda: len(group.acked) > 20, 10, "writes")
    primary, holder = group.backends[0], world.holder()

    # The primary is partitioned from the process that orders promotions.
    world.record(f"{primary.id} is cut off from {holder.name}")
    primary.cut_from.add(holder)
    await world.until(lambda: "ledger" in world.duty()["ordered"], 5, "a recorded takeover")
    chosen = world.duty()["ordered"]["ledger"]["endpoint"]
    other = next(b for b in group.backends if b is not primary and b.id != chosen)
    if trouble:
        # The replica that wasn't chosen restarts.
        other.stop()
        await asyncio.sleep(0.2)
        await other.start()
    await world.until(lambda: any(b.primary for b in group.backends[1:]), 10, "a promotion")
    primary.cut_from.clear()
    await asyncio.sleep(3)
    if group.lost:
        return f"LOST: {len(group.lost)} acknowledged commits aren't in the promoted log"
    return None


sys.exit(run_case(HERE, play))

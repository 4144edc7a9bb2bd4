"""An acknowledged commit is lost: the successor of a takeover that was given up
is promoted much later, though another replica has the longer log."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from world import CannotRun, Group, run_case, write_forever  # noqa: E402


async def play(world, trouble):
    group = Group(world, "ledger", ["i-a", "i-b", "i-c"])
    group.backends[0].one_way_s = 0.02  # the primary is in another region
    world.groups.append(group)
    await world.start(3)
    await world.until(world.holder, 10, "a duty holder")
    for n, p in enumerate(world.processes):
        world.tasks.append(asyncio.ensure_future(write_forever(world, group, p, n, 0.1)))
    await world.until(lambda: len(group.acked) > 20, 10, "writes")
    primary, successor = group.backends[0], None

    if trouble:
        # The primary goes dark for as long as the takeover needs to decide.
        world.record("the primary goes dark")
        primary.dark = True
        await world.until(lambda: "ledger" in world.duty()["ordered"], 5, "a recorded takeover")
        successor = group.find(world.duty()["ordered"]["ledger"]["endpoint"])
        holder = world.holder()
        holder.kill()
        await asyncio.sleep(0.2)
        world.record("the primary answers again")
        primary.dark = False
        await asyncio.sleep(0.3)
        holder.start()
        await asyncio.sleep(8)
        if not primary.primary:
            raise CannotRun("the takeover was completed, not given up")
    else:
        await asyncio.sleep(11)
        successor = group.backends[1]

    # Later one replica receives nothing for two seconds, and the primary crashes.
    world.record(f"replica {successor.id} receives nothing")
    successor.deaf = True
    before = len(group.acked)
    await asyncio.sleep(2)
    if len(group.acked) < before + 5:
        raise CannotRun("no writes were acknowledged meanwhile")
    primary.stop()
    successor.deaf = False
    await world.until(lambda: any(b.primary for b in group.backends[1:]), 15, "a promotion")
    await asyncio.sleep(2)
    if group.lost:
        return f"LOST: {len(group.lost)} acknowledged commits aren't in the promoted log"
    return None


sys.exit(run_case(HERE, play))

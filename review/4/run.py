"""Nothing is served after all processes were killed during a takeover: the new
holder of the duty finds the old primary alive and leaves its replicas paused."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from world import Consumer, Group, run_case  # noqa: E402

RECOVERY_S = 12  # recovery-s
JUDGED_S = 8


async def consume(world, process, number, counts):
    """A consumer that reads and writes by turns, and connects again."""
    count = 0
    consumer = None
    while True:
        count += 1
        text = f"WRITE item{number} d{number}x{count}" if count % 5 == 0 else f"READ item{number}"
        answer = []
        try:
            if consumer is None:
                consumer = Consumer(world, "orders-ledger", process)
                await consumer.connect()
            answer = await consumer.ask(f"c{number}x{count}", text)
        except (OSError, asyncio.TimeoutError):
            if consumer:
                consumer.close()
            consumer = None
        served = bool(answer) and answer[-1].startswith("COMPLETE ")
        counts.append((world.record.now(), served))
        world.record(f"{process.name} {text}: {' | '.join(answer) or 'no answer'}")
        await asyncio.sleep(0.1)


def served_share(counts, since, until):
    judged = [served for at, served in counts if since <= at < until]
    return sum(judged), len(judged)


async def play(world, trouble):
    group = Group(world, "ledger", ["i-a", "i-b", "i-c"])
    world.groups.append(group)
    await world.start(3)
    await world.until(world.holder, 10, "a duty holder")
    counts = []
    for n in range(9):
        world.tasks.append(asyncio.ensure_future(
            consume(world, world.processes[n % 3], n, counts)))
    await asyncio.sleep(5)
    before = served_share(counts, world.record.now() - 4, world.record.now())
    primary = group.backends[0]
    if trouble:
        world.record("the primary goes dark")
        primary.dark = True
        await world.until(lambda: "ledger" in world.duty()["ordered"], 5, "a recorded takeover")
        await asyncio.sleep(0.3)
    for p in world.processes:  # the final fault: kill_all
        p.kill()
    await asyncio.sleep(0.3)
    if trouble:
        world.record("the primary answers again")
        primary.dark = False
    await asyncio.sleep(0.5)
    for p in world.processes:
        p.start()
    for p in world.processes:
        await world.until(p.is_ready, 10, f"{p.name} is ready")
    await asyncio.sleep(RECOVERY_S)
    since = world.record.now()
    await asyncio.sleep(JUDGED_S)
    after = served_share(counts, since, world.record.now())
    states = ", ".join(f"{b.id} {'primary' if b.primary else 'replica'} {b.position()} "
                       f"paused for {b.paused}" for b in group.backends)
    world.record(f"served before the fault {before[0]} of {before[1]}, "
                 f"{RECOVERY_S} s after it {after[0]} of {after[1]}; {states}")
    if 4 * before[0] >= before[1] and 4 * after[0] < after[1]:
        return f"RECOVER: {after[0]} of {after[1]} served, {before[0]} of {before[1]} before"
    return None


sys.exit(run_case(HERE, play))

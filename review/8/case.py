"""A job that a client is told was not accepted runs all the same.

Writes record.txt, beside this file, with what was sent, answered and run.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world_2 import Member, World, job, play  # noqa: E402

ROUNDS = 4
ROUND_S = 11.0
SLOW_S = 0.16
POSTS_PER_S = 4.5
"""To each of the two members: a third of 13 jobs a second, at twice the usual load."""


async def post(world: World, member: Member, answers: dict[str, int]) -> None:
    """Hand a job in once."""
    name = world.new_id()
    world.record.add(f"sent   POST {name} to {member.name}")
    status, _ = await member.call("POST", f"/quick/{name}", job(800))
    answers[name] = status
    world.record.add(f"answer POST {name} from {member.name}: {status}")


async def press(world: World, members: list[Member], answers: dict[str, int]) -> None:
    """Hand jobs in to some members, at the usual pace."""
    while True:
        for member in members:
            world.spawn(post(world, member, answers))
        await asyncio.sleep(world.random.uniform(0.5, 1.5) / POSTS_PER_S)


async def play_round(world: World, answers: dict[str, int], has_trouble: bool) -> None:
    """Turn two members away at a slow store, and kill the one that schedules."""
    holder = world.holder()
    others = [each for each in world.members if each is not holder][:2]
    if holder is None:
        return
    if has_trouble:
        world.record.add(f"store  slow, 503 for {[each.name for each in others]}")
        world.store.answer_s = SLOW_S
        world.store.refused = {each.name: 503 for each in others}
    pressing = world.spawn(press(world, others, answers))
    await asyncio.sleep(2.5)
    restart = None
    if has_trouble:
        holder.send_signal(signal.SIGKILL)
        restart = world.spawn(holder.restart_after(0.5))
    await asyncio.sleep(1.0)
    pressing.cancel()
    world.store.answer_s = 0.004
    await asyncio.sleep(1.5)
    if has_trouble:
        world.record.add("store  usual for all")
    world.store.refused = {}
    if restart is not None:
        await restart
    await asyncio.sleep(ROUND_S - 5.0)


async def case(world: World, has_trouble: bool) -> int:
    """Return 1 if a job has started whose only attempt was rejected."""
    answers: dict[str, int] = {}
    for _ in range(ROUNDS):
        await play_round(world, answers, has_trouble)
    await asyncio.sleep(6.0)
    counts = {each: list(answers.values()).count(each) for each in answers.values()}
    world.record.add(f"answers by status: {counts}")
    broken = [
        name
        for name, status in answers.items()
        if status in (429, 503) and name in world.starts
    ]
    for name in broken:
        world.record.add(f"REFUSED broken: {name} was rejected, and started")
    world.record.add(f"broken for {len(broken)} of {len(answers)} jobs")
    if not has_trouble and set(answers.values()) != {200}:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))

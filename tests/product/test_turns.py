"""Order in which connections with much input go on."""

import asyncio
from itertools import pairwise

from wasabideck_entry.turns import TurnQueue


def test_one_waiter_goes_on_in_each_iteration():
    # Guards against iterations of the loop that take longer the more connections wait.
    async def scenario():
        turns, woken = TurnQueue(), []

        async def wait(name):
            await turns.wait()
            woken.append(name)

        tasks = [asyncio.create_task(wait(name)) for name in "abcd"]
        counts = []
        while len(woken) < len(tasks):
            await asyncio.sleep(0)
            counts.append(len(woken))
        steps = [after - before for before, after in pairwise(counts)]
        assert max(steps) == 1
        return "".join(woken)

    assert asyncio.run(scenario()) == "abcd"


def test_a_cancelled_waiter_takes_no_turn():
    # Guards against connections that were closed, and keep the others waiting.
    async def scenario():
        turns = TurnQueue()
        first, second = (asyncio.create_task(turns.wait()) for _ in range(2))
        await asyncio.sleep(0)
        first.cancel()
        async with asyncio.timeout(5):
            await second
        assert first.cancelled()

    asyncio.run(scenario())

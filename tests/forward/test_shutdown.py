"""Requests of an entry that is shutting down."""

import asyncio

from .conftest import Entry, configuration, hangs, route


def ended(entry):
    return [fields for kind, fields in entry.log if kind == "request.ended"]


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def test_a_request_that_the_process_cut_off_is_not_logged_as_left(play):
    # Guards against logs that blame a caller for a request that the process ended.
    async def scenario():
        entry = Entry(configuration(route()))
        server = await entry.add_server(hangs, hangs)
        leaving, waiting = await entry.caller(), await entry.caller()
        await leaving.send(name=b"leaving")
        await until(lambda: len(server.requests) == 1)
        leaving.writer.close()
        await until(lambda: ended(entry))
        entry.forwarder.drain.started_at = asyncio.get_running_loop().time() - 5.0
        await waiting.send(name=b"waiting")
        await until(lambda: len(server.requests) == 2)
        # As at the end of the event loop, which cancels all tasks.
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await until(lambda: len(ended(entry)) == 2)
        first, second = ended(entry)
        assert (first["request"], first["outcome"]) == ("leaving", "left")
        assert first["draining"] is None
        assert (second["request"], second["outcome"]) == ("waiting", "cut-off")
        assert 5.0 <= second["draining"] < 10.0

    play(scenario)

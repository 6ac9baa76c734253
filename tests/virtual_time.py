"""An event loop whose clock jumps to the next timer when nothing else is to be done.

Scenarios take no time, and their verdict does not depend on how busy the machine is.
Connections on the loopback interface work, as their data is ready when it is sent.
"""

import asyncio

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances to the next timer once no data is ready."""

    def __init__(self):
        super().__init__()
        self._now = 1000.0
        select = self._selector.select

        def advance(timeout):
            assert timeout is not None, "nothing left to wait for"
            ready = select(0)
            if not ready:
                self._now += timeout
            return ready

        self._selector.select = advance

    def time(self):
        return self._now


def run_in_virtual_time(scenario):
    """Run a coroutine to its end, as ``asyncio.run`` does."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(scenario)

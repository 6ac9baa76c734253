"""An event loop whose clock jumps to the next timer when nothing else is to be done.

For scenarios without real connections: they take no time, and their verdict doesn't
depend on how busy the machine is.
"""

import asyncio
import selectors

__all__ = ["run_in_virtual_time"]


class _JumpingSelector(selectors.DefaultSelector):
    """Advances a clock by the time that it is asked to wait, and does not wait."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("the scenario waits for something that never happens")
        self.now += max(0.0, timeout)
        return super().select(0)


def run_in_virtual_time(scenario):
    """Run a coroutine to its end, as ``asyncio.run`` does."""
    selector = _JumpingSelector()

    def new_loop():
        loop = asyncio.SelectorEventLoop(selector)
        loop.time = lambda: selector.now
        return loop

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(scenario)

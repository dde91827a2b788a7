"""An event loop with virtual time.

When nothing is ready, the time advances to the next timer at once.
"""

import asyncio
import selectors

import anyio


class _Selector(selectors.DefaultSelector):

    def __init__(self):
        super().__init__()
        self.time_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("deadlock: all tasks wait without a timer")
            self.time_s += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):

    def __init__(self):
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.time_s


def run(main, *args):
    """Runs a coroutine function on the virtual clock."""
    return anyio.run(main, *args, backend_options={"loop_factory": _Loop})

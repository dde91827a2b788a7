"""An event loop whose time jumps to the next timer when nothing is ready."""

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
                raise RuntimeError("every task waits, and no timer is set")
            self.time_s += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the virtual time."""
        return self._virtual.time_s


def run(main, *args):
    """Runs a coroutine function on the virtual clock."""
    return anyio.run(main, *args, backend_options={"loop_factory": _Loop})

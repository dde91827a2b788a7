"""How long the process of the callers stood still."""

import asyncio
import time

INTERVAL_S = 0.02


class LoopLag:
    """Measures delays of an event loop.

    Attributes:
        longest_s: The longest delay.
    """

    def __init__(self):
        self.longest_s = 0.0

    async def watch(self) -> None:
        """Measures until cancelled."""
        while True:
            begin_s = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            lag_s = time.monotonic() - begin_s - INTERVAL_S
            self.longest_s = max(self.longest_s, lag_s)

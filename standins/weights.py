"""A stand-in for the weight store, from which engines load artifacts.

Model loads start at a limited rate and share the bandwidth: beyond a limit of
concurrent loads each takes proportionally longer. Adapter loads take a few
milliseconds each up to a limit in transit, and proportionally longer beyond it.
"""

from collections.abc import Awaitable, Callable

import anyio


class WeightStore:
    """Delays loads as the weight store does.

    Attributes:
        model_loads: Number of model loads that have been started.
        max_concurrent_model_loads: Largest number of concurrent model loads.
        max_adapters_in_transit: Largest number of concurrent adapter loads.
    """

    def __init__(
        self,
        *,
        model_loads_per_s: float = 3.0,
        concurrent_model_loads: int = 4,
        model_load_s: float = 1.0,
        adapters_in_transit: int = 32,
        adapter_load_s: float = 0.0075,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
        clock: Callable[[], float] = anyio.current_time,
    ):
        self._start_interval_s = 1.0 / model_loads_per_s
        self._model_load_s = model_load_s
        self._max_full_speed_loads = concurrent_model_loads
        self._adapter_limit = adapters_in_transit
        self._adapter_load_s = adapter_load_s
        self._sleep = sleep
        self._clock = clock
        self._next_start_s = 0.0
        self._active_model_loads = 0
        self._active_adapter_loads = 0
        self.model_loads = 0
        self.max_concurrent_model_loads = 0
        self.max_adapters_in_transit = 0

    async def load_model(self) -> None:
        """Waits for the duration of one model load."""
        now_s = self._clock()
        start_s = max(now_s, self._next_start_s)
        self._next_start_s = start_s + self._start_interval_s
        self._active_model_loads += 1
        self.model_loads += 1
        self.max_concurrent_model_loads = max(
            self.max_concurrent_model_loads, self._active_model_loads
        )
        try:
            slowdown = max(
                1.0, self._active_model_loads / self._max_full_speed_loads
            )
            await self._sleep(start_s - now_s + self._model_load_s * slowdown)
        finally:
            self._active_model_loads -= 1

    async def load_adapter(self) -> None:
        """Waits for the duration of one adapter load."""
        self._active_adapter_loads += 1
        self.max_adapters_in_transit = max(
            self.max_adapters_in_transit, self._active_adapter_loads
        )
        try:
            slowdown = max(
                1.0, self._active_adapter_loads / self._adapter_limit
            )
            await self._sleep(self._adapter_load_s * slowdown)
        finally:
            self._active_adapter_loads -= 1

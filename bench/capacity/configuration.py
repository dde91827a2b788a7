"""The configuration: sizes, and the cost of a version and a patch."""

import random
import time
from collections.abc import Iterator

import msgspec

from acaciaspoke.config.patch import apply_patch
from acaciaspoke.config.rows import apply_pushed, apply_row
from acaciaspoke.config.schema import Config
from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.entry.dispatch import Dispatcher
from acaciaspoke.entry.routing import Fleet
from acaciaspoke.net.messages import ConfigPush, decode, encode
from acaciaspoke.net.records import PatchRow
from bench.capacity import scale
from bench.capacity.measure import allocated_bytes, cpu_s, ms, size
from bench.result import Result

PATCH = {"models": {"model-0007": {"version": "2026-12-02"}}}

# Number of rows that a region misses if it is cut off for 10 min.
MISSED_ROWS = 97


def run() -> Iterator[Result]:
    """Measures configurations of three sizes."""
    for dimensions in scale.SIZES:
        yield from _measure(dimensions)


def _measure(dimensions: scale.Size) -> Iterator[Result]:
    name = f"configuration.{dimensions.models}_models"
    config = scale.config(dimensions)
    text = msgspec.json.encode(config)
    row = PatchRow(
        version=2,
        patch_id="3f0c0a52-6f3e-4f59-9e0e-0d3c6c9d2f11",
        author="operator@example",
        merge_patch=msgspec.json.encode(PATCH).decode(),
    )
    push = ConfigPush(patches=(row,), version=2)
    snapshot = ConfigPush(snapshot=text.decode(), version=1)
    pushed = encode(snapshot)
    yield size(f"{name}.whole", len(text))
    yield size(f"{name}.patch_message", len(encode(push)))
    yield size(
        f"{name}.decoded",
        allocated_bytes(lambda: msgspec.json.decode(text, type=Config)),
    )
    yield ms(f"{name}.encode", cpu_s(lambda: msgspec.json.encode(config)))
    yield ms(
        f"{name}.decode",
        cpu_s(lambda: msgspec.json.decode(text, type=Config)),
    )
    yield ms(f"{name}.decode_push", cpu_s(lambda: decode(pushed)))
    yield ms(f"{name}.check_patch", cpu_s(lambda: apply_patch(config, PATCH)))
    yield ms(f"{name}.apply_row", cpu_s(lambda: apply_row(config, row)))
    yield ms(f"{name}.apply_pushed", cpu_s(lambda: apply_pushed(config, push)))
    dispatcher = Dispatcher(scale.LOCAL_DOMAIN, _rng())
    dispatcher.set_config(config)
    yield ms(
        f"{name}.entry_puts_in_force",
        cpu_s(lambda: _apply_patch(dispatcher, push)),
    )
    rows = [
        msgspec.structs.replace(row, version=2 + n) for n in range(MISSED_ROWS)
    ]

    def catch_up():
        changed = config
        for item in rows:
            changed = apply_row(changed, item)

    yield ms(f"{name}.apply_{MISSED_ROWS}_rows", _time_once(catch_up))
    upstreams = Upstreams("host", scale.LOCAL_DOMAIN, _rng())
    yield ms(
        f"{name}.control_takes_upstreams",
        cpu_s(lambda: upstreams.set_config(config.upstreams, 0.0)),
    )
    fleet = Fleet(config.upstreams)
    fleet.update(scale.views(config), 0.0)
    yield ms(
        f"{name}.entry_takes_upstreams",
        cpu_s(lambda: fleet.set_upstreams(config.upstreams)),
    )


def _time_once(call) -> float:
    start_s = time.process_time()
    call()
    return time.process_time() - start_s


def _rng() -> random.Random:
    return random.Random(1)


def _apply_patch(dispatcher: Dispatcher, push: ConfigPush) -> None:
    """Applies a patch as an entry process does; may be called repeatedly."""
    version = dispatcher.config.version
    patch = msgspec.structs.replace(push.patches[0], version=version + 1)
    pushed = msgspec.structs.replace(push, patches=(patch,))
    dispatcher.set_config(apply_pushed(dispatcher.config, pushed))

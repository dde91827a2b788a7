"""Checks the settings file at SIGHUP."""

import signal
from pathlib import Path

import anyio
from loguru import logger

from acaciaspoke.gateway.settings import (
    GatewaySettings,
    load_gateway_settings,
)
from acaciaspoke.settings import SettingsError


async def log_reloads(settings: GatewaySettings, path: Path | None) -> None:
    """Checks the settings file at each SIGHUP and logs what has changed."""
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            if path is not None:
                _check(settings, path)


def _check(settings: GatewaySettings, path: Path) -> None:
    try:
        reloaded = load_gateway_settings(path)
    except SettingsError as error:
        logger.error("settings file is invalid: {}", error)
        return
    changed = [
        name
        for name in reloaded.__struct_fields__
        if getattr(reloaded, name) != getattr(settings, name)
    ]
    logger.info(
        "settings file checked; changes that need a restart: {}",
        ", ".join(changed) or "none",
    )

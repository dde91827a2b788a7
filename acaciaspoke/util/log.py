"""Structured logs by loguru."""

import sys

import msgspec
from loguru import logger

_encoder = msgspec.json.Encoder(enc_hook=str)


def _write_json(message) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = str(message).rstrip().partition("\n")[2]
    sys.stdout.write(_encoder.encode(line).decode() + "\n")
    sys.stdout.flush()


def set_up_logs(level: str, **fields: str) -> None:
    """Writes JSON lines to standard output, each with ``fields``."""
    logger.remove()
    # The values of variables could hold callers' text, so they stay out.
    logger.add(
        _write_json, level=level.upper(), format="{message}", diagnose=False
    )
    logger.configure(extra=fields)

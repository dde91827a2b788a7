"""Structured logs by loguru: JSON lines, bounded, written by a thread.

A reader of standard output that stops reading must not stop the process, so
lines wait in a queue of limited length; what does not fit is dropped, counted
and reported once there is room again.
"""

import atexit
import collections
import logging
import sys
import threading
import time

import msgspec
from loguru import logger

# A process logs a few lines a request, so this covers a flood of 100 requests
# a second; at 250 bytes a line it bounds the volume at 100 KB/s.
MAX_LINES_PER_S = 400
MAX_QUEUED_LINES = 4000

# Lines are written together; the last ones of a process within FLUSH_S.
WRITE_INTERVAL_S = 0.1
FLUSH_S = 1.0

# Warnings and worse are not held to the rate.
_WARNING_NO = 30

_encoder = msgspec.json.Encoder(enc_hook=str)


class LogWriter:
    """Queues lines for a thread that writes them.

    Attributes:
        dropped: Lines that found no room since the start.
    """

    def __init__(self, write=None):
        self.dropped = 0
        self._write = write or _write_to_stdout
        self._lines: collections.deque[str] = collections.deque()
        self._reported = 0
        self._second = 0
        self._lines_in_second = 0
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, line: str, urgent: bool) -> None:
        """Queues a line; drops it if the queue or the rate is exhausted."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        is_over = self._lines_in_second > MAX_LINES_PER_S and not urgent
        if is_over or len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._idle.clear()
        self._wake.set()

    def flush(self) -> None:
        """Waits up to ``FLUSH_S`` until all lines are written."""
        self._idle.wait(FLUSH_S)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                batch = [self._lines.popleft() for _ in range(len(self._lines))]
                if self.dropped > self._reported:
                    lost = self.dropped - self._reported
                    self._reported = self.dropped
                    batch.append(_dropped_line(lost))
                self._write("".join(batch))
            self._idle.set()
            time.sleep(WRITE_INTERVAL_S)


def _dropped_line(count: int) -> str:
    line = {"level": "WARNING", "message": f"{count} log lines dropped"}
    return _encoder.encode(line).decode() + "\n"


def _write_to_stdout(text: str) -> None:
    try:
        sys.stdout.write(text)
        sys.stdout.flush()
    except (OSError, ValueError):
        # Nobody reads any more; there is no other place to say so.
        return


def _to_line(message) -> str:
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
    return _encoder.encode(line).decode() + "\n"


class LibraryLogs(logging.Handler):
    """Takes what libraries log by the standard library into these logs.

    By default it would be written to standard error at once, as plain text, and
    could block the process.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record under its library's name."""
        entry = logger.patch(lambda found: found.update(name=record.name))
        entry.opt(exception=record.exc_info).log(
            record.levelname, "{}", record.getMessage()
        )


def set_up_logs(level: str, **fields: str) -> LogWriter:
    """Writes JSON lines to standard output, each with ``fields``."""
    writer = LogWriter()

    def sink(message) -> None:
        urgent = message.record["level"].no >= _WARNING_NO
        writer.add(_to_line(message), urgent)

    logger.remove()
    # The values of variables could hold callers' text, so they stay out.
    logger.add(sink, level=level.upper(), format="{message}", diagnose=False)
    logger.configure(extra=fields)
    logging.basicConfig(
        handlers=[LibraryLogs()], level=logging.WARNING, force=True
    )
    atexit.register(writer.flush)
    return writer

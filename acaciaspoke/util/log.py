"""Structured logging with loguru: JSON lines, written by a thread.

A blocked reader of standard output must not block the process. Lines therefore
wait in a bounded queue; lines that do not fit are dropped, counted, and
reported once lines can be written again.
"""

import atexit
import collections
import logging
import sys
import threading
import time

import msgspec
from loguru import logger

# A process logs a few lines per request, so this suffices for 100 requests a
# second. At 250 bytes a line it limits the volume to 100 KB/s.
MAX_LINES_PER_S = 400
MAX_QUEUED_LINES = 4000

# Lines are written in batches. At exit the last ones are flushed for at most
# FLUSH_TIMEOUT_S.
WRITE_INTERVAL_S = 0.1
FLUSH_TIMEOUT_S = 1.0

# The rate limit does not apply to warnings and above.
_WARNING_LEVEL_NO = 30

_encoder = msgspec.json.Encoder(enc_hook=str)


class LogWriter:
    """Queues lines for a writer thread.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    def __init__(self, write=None):
        self.dropped = 0
        self._write = write or _write_to_stdout
        self._lines: collections.deque[str] = collections.deque()
        self._reported_drops = 0
        self._second = 0
        self._lines_in_second = 0
        self._wake = threading.Event()
        self._all_written = threading.Event()
        self._all_written.set()
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, line: str, urgent: bool) -> None:
        """Queues a line; drops it if the queue is full or the rate exceeded.

        Urgent lines are exempt from the rate limit.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        is_over_rate = self._lines_in_second > MAX_LINES_PER_S and not urgent
        if is_over_rate or len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._all_written.clear()
        self._wake.set()

    def flush(self) -> None:
        """Waits up to ``FLUSH_TIMEOUT_S`` until all lines are written."""
        self._all_written.wait(FLUSH_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                batch = [self._lines.popleft() for _ in range(len(self._lines))]
                if self.dropped > self._reported_drops:
                    newly_dropped = self.dropped - self._reported_drops
                    self._reported_drops = self.dropped
                    batch.append(_dropped_line(newly_dropped))
                self._write("".join(batch))
            self._all_written.set()
            time.sleep(WRITE_INTERVAL_S)


def _dropped_line(count: int) -> str:
    line = {"level": "WARNING", "message": f"{count} log lines dropped"}
    return _encoder.encode(line).decode() + "\n"


def _write_to_stdout(text: str) -> None:
    try:
        sys.stdout.write(text)
        sys.stdout.flush()
    except (OSError, ValueError):
        # The reader is gone, and there is no other place to report it.
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
    """Routes log records of libraries into these logs.

    By default they would be written synchronously to standard error as plain
    text, which could block the process.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record under the name of its library."""
        entry = logger.patch(lambda found: found.update(name=record.name))
        entry.opt(exception=record.exc_info).log(
            record.levelname, "{}", record.getMessage()
        )


def set_up_logs(level: str, **fields: str) -> LogWriter:
    """Configures logging as JSON lines with ``fields`` to standard output."""
    writer = LogWriter()

    def sink(message) -> None:
        urgent = message.record["level"].no >= _WARNING_LEVEL_NO
        writer.add(_to_line(message), urgent)

    logger.remove()
    # Values of variables may contain text of callers, so they are not logged.
    logger.add(sink, level=level.upper(), format="{message}", diagnose=False)
    logger.configure(extra=fields)
    logging.basicConfig(
        handlers=[LibraryLogs()], level=logging.WARNING, force=True
    )
    atexit.register(writer.flush)
    return writer

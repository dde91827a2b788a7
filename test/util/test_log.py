"""Tests of acaciaspoke.util.log."""

import json
import subprocess
import sys
import threading
import time
import unittest

from acaciaspoke.util.log import MAX_LINES_PER_S, MAX_QUEUED_LINES, LogWriter

_LOG_BY_LIBRARY = """
import logging
from acaciaspoke.util.log import set_up_logs
set_up_logs("info", host="h1")
logging.getLogger("uvicorn.error").error("an answer of %s", "theirs")
"""


class LogWriterTest(unittest.TestCase):

    def test_blocked_reader_does_not_block_the_process(self):
        stuck = threading.Event()
        self.addCleanup(stuck.set)
        writer = LogWriter(lambda text: stuck.wait(30))
        started_s = time.monotonic()
        for number in range(3 * MAX_QUEUED_LINES):
            writer.add(f"{number}\n", urgent=True)
        self.assertLess(time.monotonic() - started_s, 5)
        self.assertGreater(writer.dropped, 0)

    def test_excess_lines_are_dropped_and_reported(self):
        written = []
        writer = LogWriter(written.append)
        for number in range(3 * MAX_LINES_PER_S):
            writer.add(f"{number}\n", urgent=False)
        writer.add("warning\n", urgent=True)
        writer.flush()
        text = "".join(written)
        self.assertLessEqual(text.count("\n"), 2 * MAX_LINES_PER_S + 2)
        self.assertIn("warning\n", text)
        self.assertIn("log lines dropped", text)


class LibraryLogsTest(unittest.TestCase):

    def test_library_records_are_logged_in_the_same_format(self):
        # The HTTP server's errors went to standard error as plain text.
        ran = subprocess.run(
            [sys.executable, "-c", _LOG_BY_LIBRARY],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual("", ran.stderr)
        line = json.loads(ran.stdout)
        self.assertEqual("uvicorn.error", line["module"])
        self.assertEqual("an answer of theirs", line["message"])
        self.assertEqual(("ERROR", "h1"), (line["level"], line["host"]))

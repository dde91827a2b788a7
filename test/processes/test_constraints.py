"""Limits of the hosts: no child processes, no io_uring."""

import contextlib
import os
from pathlib import Path

from standins.deployment import Shape
from test.processes import deployments


class ConstraintsTest(deployments.DeploymentTest):
    shape = Shape(domains=("d1",), hosts=1, engines=1, plain=0)
    models = 1

    def test_processes_keep_to_the_limits_of_the_hosts(self):
        """Guards against libraries that use io_uring or child processes."""
        for name, process in self.deployment.processes.items():
            if not name.startswith(("control ", "entry ")):
                continue
            folder = Path("/proc") / str(process.pid)
            files = _open_files(folder / "fd")
            self.assertTrue(files)
            self.assertEqual([f for f in files if "io_uring" in f], [], name)
            children = folder / "task" / str(process.pid) / "children"
            self.assertEqual(children.read_text().split(), [], name)


def _open_files(folder: Path) -> list[str]:
    files = []
    for link in folder.iterdir():
        # A descriptor may be closed after it was listed.
        with contextlib.suppress(FileNotFoundError):
            files.append(os.readlink(link))
    return files

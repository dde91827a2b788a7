"""The code of the earlier release, from the history of the repository."""

import subprocess
import tempfile
import unittest
from pathlib import Path

# The last commit of the earlier release.
COMMIT = "14dfe16"

ROOT = Path(__file__).parents[2]


def extract(test_case: type[unittest.TestCase]) -> Path:
    """Returns a folder with the earlier release, for the tests of a class.

    Raises:
        unittest.SkipTest: If the history does not have it.
    """
    folder = Path(test_case.enterClassContext(tempfile.TemporaryDirectory()))
    archive = subprocess.run(
        ["git", "archive", COMMIT],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        raise unittest.SkipTest(
            f"the history lacks commit {COMMIT} of the earlier release"
        )
    subprocess.run(
        ["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True
    )
    return folder

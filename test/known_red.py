"""Reads KNOWN-RED.txt, the list of known failures."""

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def known_red(kind: str) -> frozenset[str]:
    """Returns the names in the file's lines ``KIND: NAME``.

    Args:
        kind: ``test`` for ids of tests, ``bench`` for names of bench results.
    """
    listing = ROOT / "KNOWN-RED.txt"
    if not listing.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(f"{kind}:").strip()
        for line in listing.read_text(encoding="utf-8").splitlines()
        if line.startswith(f"{kind}:")
    )

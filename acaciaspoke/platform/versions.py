"""Versions of rows that are ordered across restores of the store.

The store counts versions by one counter. When it is restored from a copy, the
counter goes back, so that versions are given out again, and the store's era
rises. A version outside this folder is one integer with the era in its upper
bits; it is higher than all versions of earlier eras.
"""

NUMBER_BITS = 48

# A version with its era fits into the signed 64 bits of a message.
MAX_ERA = 2**15 - 1


def to_version(era: int, number: int) -> int:
    """Returns the version for a number of the store in an era.

    Raises:
        ValueError: If the era or the number is out of range.
    """
    if not 0 <= era <= MAX_ERA or number >> NUMBER_BITS:
        raise ValueError(f"version {number} of era {era} is out of range")
    return era << NUMBER_BITS | number


def era_of(version: int) -> int:
    """Returns the era in which the store gave out a version."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Returns the number that the store knows a version by."""
    return version & ((1 << NUMBER_BITS) - 1)

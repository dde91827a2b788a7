"""Digests of API keys."""

import hashlib

# Digits of a fingerprint: enough to tell the keys of a deployment apart.
FINGERPRINT_DIGITS = 8


def digest_of(key: bytes) -> bytes:
    """Returns the digest of an API key.

    Lookups by digest take no time that depends on the digits of the key.
    """
    return hashlib.sha256(key).digest()


def fingerprint(key: bytes) -> str:
    """Returns what logs say in place of an API key."""
    return digest_of(key).hex()[:FINGERPRINT_DIGITS]

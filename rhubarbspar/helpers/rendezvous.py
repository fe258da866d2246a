"""Rendezvous (highest random weight) hashing.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

import math
import typing
from collections import abc

import xxhash

# Width of the xxh3_64 hash.
HASH_BITS: typing.Final = 64


def rank(key: str, candidates: abc.Iterable[str]) -> list[str]:
    """Return the candidates sorted by descending weight for a key."""
    return sorted(candidates, key=lambda candidate: _weight(key, candidate), reverse=True)


def choose(key: str, candidates: abc.Iterable[str]) -> str | None:
    """Return the candidate of the highest weight for a key, or ``None`` without candidates."""
    return max(candidates, key=lambda candidate: _weight(key, candidate), default=None)


def hash_fraction(key: str) -> float:
    """Return the hash of a key as a fraction, uniformly distributed in [0, 1)."""
    digest: int = xxhash.xxh3_64_intdigest(key.encode())
    return math.ldexp(digest, -HASH_BITS)


def _weight(key: str, candidate: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{key}\0{candidate}'.encode()), candidate

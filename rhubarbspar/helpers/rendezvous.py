"""Rendezvous (highest random weight) hashing.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

import math
import typing
from collections import abc

import xxhash

# Bits of a hash.
HASH_BITS: typing.Final = 64


def rank(key: str, candidates: abc.Iterable[str]) -> list[str]:
    """Return the candidates in order of preference for a key."""
    return sorted(candidates, key=lambda candidate: _weight(key, candidate), reverse=True)


def choose(key: str, candidates: abc.Iterable[str]) -> str | None:
    """Return the preferred candidate for a key, or ``None`` without candidates."""
    return max(candidates, key=lambda candidate: _weight(key, candidate), default=None)


def hash_fraction(key: str) -> float:
    """Return a position of a key, evenly distributed from 0 to below 1."""
    digest: int = xxhash.xxh3_64_intdigest(key.encode())
    return math.ldexp(digest, -HASH_BITS)


def _weight(key: str, candidate: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{key}\0{candidate}'.encode()), candidate

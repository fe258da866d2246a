"""Reads the settings at the start, when the platform may still be writing them."""

import os
import stat
import time
import typing

from rhubarbspar import exceptions
from rhubarbspar.gateway import settings

# Settings that are absent or invalid are read again, up to this long, when the file changes.
WAIT_MAX_S: typing.Final = 5.0
CHECK_INTERVAL_S: typing.Final = 0.05


def load(path: str) -> settings.Settings:
    """Return the settings of a file.

    Raises
    ------
    exceptions.RhubarbsparError
        If they are still absent or invalid after ``WAIT_MAX_S``.
    """
    deadline_s = time.monotonic() + WAIT_MAX_S
    while True:
        signature = _signature(path)
        try:
            return settings.load(path)
        except exceptions.RhubarbsparError:
            if not _wait_for_change(path, signature, deadline_s):
                raise


def _wait_for_change(path: str, signature: tuple[int, ...], deadline_s: float) -> bool:
    """Return whether a file has changed before a deadline."""
    while time.monotonic() < deadline_s:
        time.sleep(CHECK_INTERVAL_S)
        if _signature(path) != signature:
            return True
    return False


def _signature(path: str) -> tuple[int, ...]:
    """Return what changes when a file is written; empty if there is no regular file."""
    try:
        found = os.stat(path)
    except OSError:
        return ()
    if not stat.S_ISREG(found.st_mode):
        return ()
    return (found.st_ino, found.st_size, found.st_mtime_ns)

"""Read a regular file, without waiting for a path that names something else."""

import os
import pathlib
import stat


def read(path: pathlib.Path, max_bytes: int) -> bytes:
    """Return the content of a regular file, or its first ``max_bytes`` bytes.

    Raises
    ------
    OSError
        If it cannot be read, or is a pipe, a device or a folder.
    """
    # Without the flag, a pipe that nobody writes to would be waited for.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    with os.fdopen(descriptor, 'rb') as opened:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise OSError('not a regular file')
        return opened.read(max_bytes)

"""A short day of the operators' deployment with a fixed seed; ``script/soak --site`` plays others."""

import pathlib
import subprocess
import sys

import pytest

SEED = 12
# A busy machine takes longer; the verdict does not depend on it.
TIME_LIMIT_S = 240


def test_promises_hold_in_the_deployment_of_the_operators(tmp_path):
    """Guards against processes that end by themselves and requests that are lost on real machines."""
    command = [
        *(sys.executable, '-m', 'tests.soak', '--site', '--first', str(SEED)),
        *('--day', '16', '--rate', '0.15', '--logs', str(tmp_path)),
    ]
    played = subprocess.run(
        command,
        capture_output=True,
        check=False,
        cwd=pathlib.Path(__file__).parents[2],
        text=True,
        timeout=TIME_LIMIT_S,
    )
    if played.returncode:
        pytest.fail(played.stdout + played.stderr)

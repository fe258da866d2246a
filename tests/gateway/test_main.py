"""Start of the gateway's process."""

import os
import signal
import subprocess
import sys

EXIT_BAD_INPUT = 2
TIMEOUT_S = 60


def test_sighup_does_not_end_a_process_that_starts(tmp_path):
    """Guards against a change of the settings that ends the processes which are starting.

    The process waits for its settings when the signal comes; they are invalid, so that it ends.
    """
    settings_path = tmp_path / 'settings.jsonc'
    os.mkfifo(settings_path)
    command = (sys.executable, '-m', 'rhubarbspar.gateway', str(settings_path))
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        with settings_path.open('w') as writer:
            process.send_signal(signal.SIGHUP)
            writer.write('{')
        assert process.wait(TIMEOUT_S) == EXIT_BAD_INPUT
    finally:
        process.kill()

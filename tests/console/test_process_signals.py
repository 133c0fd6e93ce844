"""Signals during the start: a stop must take effect also where exceptions are discarded."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import unittest

_PROGRAM = """
import signal
import weakref
from lotushill.console.process_signals import ProcessSignals

class Thing:
    pass

def stop(_):
    # Exceptions raised here are printed and discarded, as in the locks of the import system.
    signal.raise_signal(signal.{name})

signals = ProcessSignals()
signals.install()
thing = Thing()
watch = weakref.ref(thing, stop)
del thing
print("goes on", signals.is_reload_requested)
"""


class TestProcessSignals(unittest.TestCase):
    def run_with(self, number: signal.Signals) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-c", _PROGRAM.format(name=number.name)],
            capture_output=True,
            text=True,
            check=False,
        )

    def test_a_stop_signal_ends_the_program_at_any_time(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            done = self.run_with(number)
            self.assertEqual((0, ""), (done.returncode, done.stderr))
            (line,) = [json.loads(line) for line in done.stdout.splitlines()]
            self.assertEqual(("process.stopped", number.name), (line["event"], line["why"]))

    def test_a_reload_signal_is_recorded_for_later(self) -> None:
        done = self.run_with(signal.SIGHUP)
        self.assertEqual((0, "goes on True\n", ""), (done.returncode, done.stdout, done.stderr))

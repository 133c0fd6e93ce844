"""The build installs the libraries anew if those in the build folder cannot be loaded here."""

from __future__ import annotations

import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
_PYTHON = """#!/bin/sh
case "$1 $2" in
    "-c "*) echo "$MACHINE" ;;
    "-m pip")
        echo "$MACHINE" >>installed.txt
        if [ "${PIP_FAILS-}" ]; then exit 1; fi
        mkdir -p target/deps ;;
esac
"""
"""Stands in for the interpreter: it records each installation."""


class TestBuild(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        (self.root / "src/lotushill").mkdir(parents=True)
        python = self.root / "bin/python3"
        python.parent.mkdir()
        python.write_text(_PYTHON, encoding="utf-8")
        python.chmod(0o755)

    def build(self, machine: str, **variables: str) -> int:
        path = f"{self.root / 'bin'}{os.pathsep}{os.environ['PATH']}"
        environment = {**os.environ, "PATH": path, "MACHINE": machine, **variables}
        return subprocess.run(
            ["sh", "deploy/build.sh"], cwd=self.root, env=environment, check=False
        ).returncode

    def installed(self) -> list[str]:
        return (self.root / "installed.txt").read_text(encoding="utf-8").splitlines()

    def test_a_second_build_installs_nothing(self) -> None:
        self.assertEqual([0, 0], [self.build("arm"), self.build("arm")])
        self.assertEqual(["arm"], self.installed())

    def test_libraries_of_another_machine_or_interpreter_are_replaced(self) -> None:
        """A folder carried over from another machine was taken for current: nothing started."""
        self.assertEqual([0, 0], [self.build("x86"), self.build("arm")])
        self.assertEqual(["x86", "arm"], self.installed())

    def test_other_requirements_are_installed(self) -> None:
        self.build("arm")
        with (self.root / "deploy/requirements.txt").open("a", encoding="utf-8") as file:
            file.write("another==1.0\n")
        self.build("arm")
        self.assertEqual(["arm", "arm"], self.installed())

    def test_a_failed_installation_is_repeated(self) -> None:
        self.assertNotEqual(0, self.build("arm", PIP_FAILS="1"))
        self.assertEqual(0, self.build("arm"))
        self.assertEqual(["arm", "arm"], self.installed())

"""Runs the scenario slow_targets of the program `policy`; arguments are passed on."""
import pathlib
import subprocess
import sys

PROGRAM = pathlib.Path(__file__).resolve().parent.parent / "build" / "policy"

sys.exit(subprocess.run([PROGRAM, "slow_targets", *sys.argv[1:]], check=False).returncode)

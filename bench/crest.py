"""Runs the scenario crest of the program `policy`; arguments are passed on."""
import pathlib
import subprocess
import sys

PROGRAM = pathlib.Path(__file__).resolve().parent.parent / "build" / "policy"

sys.exit(subprocess.run([PROGRAM, "crest", *sys.argv[1:]], check=False).returncode)

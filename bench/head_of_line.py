"""Runs the scenario head_of_line of the program `policy`; arguments are passed on."""
import pathlib
import subprocess
import sys

PROGRAM = pathlib.Path(__file__).resolve().parent.parent / "build" / "policy"

sys.exit(subprocess.run([PROGRAM, "head_of_line", *sys.argv[1:]], check=False).returncode)

"""Runs the unit test programs and the process tests, and counts their cases.

Unit tests are the programs build/tests/*_test (Boost.Test); process tests are the
files testing/*_test.py, each one test, which start real processes on loopback.
"""
import pathlib
import re
import subprocess
import sys
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM_LIMIT_S = 300


def known_red():
    """The names of tests that may fail; prints every entry of the list."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    text = path.read_text()
    for entry in re.findall(r"^(?:red|bench): .+", text, re.MULTILINE):
        print(f"listed as known red: {entry}")
    return set(re.findall(r"^red: (\S+)", text, re.MULTILINE))


def run(command):
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True,
                              timeout=PROGRAM_LIMIT_S, check=False)
        return done.returncode, done.stdout, done.stderr
    except subprocess.TimeoutExpired as error:
        return 124, str(error.stdout or ""), f"no end within {PROGRAM_LIMIT_S} s"


def unit_results(program):
    """Yields (case name, passed) of one Boost.Test program."""
    code, out, err = run([str(program), "--report_level=detailed", "--report_format=XML",
                          "--report_sink=stdout", "--log_sink=stderr"])
    cases = []
    start = out.find("<TestResult>")
    if start >= 0:
        tree = ElementTree.fromstring(out[start:])
        cases = [(f"{program.name}/{case.get('name')}", case.get("result") == "passed")
                 for case in tree.iter("TestCase")]
    if code != 0 and all(passed for _, passed in cases):
        cases.append((f"{program.name}/(the program: exit {code})", False))
    if not all(passed for _, passed in cases):
        print(out[:start] if start >= 0 else out, err, sep="\n")
    return cases


def script_results(script):
    code, out, err = run([sys.executable, str(script)])
    if code != 0:
        print(out, err, sep="\n")
    return [(script.name, code == 0)]


def main():
    red = known_red()
    passed = failed = 0
    results = []
    for program in sorted((ROOT / "build" / "tests").glob("*_test")):
        results += unit_results(program)
    for script in sorted((ROOT / "testing").glob("*_test.py")):
        results += script_results(script)
    for name, good in results:
        if good:
            passed += 1
        elif name in red:
            print(f"known red: {name}")
        else:
            failed += 1
            print(f"FAILED: {name}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""What all benches share: the report's lines, the load driver, processor times."""
import argparse
import json
import os
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "testing"))

from cluster import BUILD, ClusterError  # noqa: E402  (the path is set above)

DRIVER_MARGIN_S = 60
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Report:
    """Prints one JSON object per figure and remembers whether a bound was missed."""

    def __init__(self, bench, seed):
        self.bench = bench
        self.seed = seed
        self.missed = False

    def figure(self, measure, variant, value, unit, bound=None, at_least=False):
        """A figure; `bound` is the largest good value, or the smallest with `at_least`."""
        print(json.dumps({"bench": self.bench, "measure": measure, "variant": variant,
                          "value": value, "unit": unit, "bound": bound, "seed": self.seed}),
              flush=True)
        if bound is not None:
            good = value is not None and (value >= bound if at_least else value <= bound)
            self.missed = self.missed or not good


def main(bench, run):
    """Parses the options, calls run(report, seed, quick) and exits with the verdict."""
    parser = argparse.ArgumentParser(description=bench)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="ends within 45 s")
    options = parser.parse_args()
    report = Report(bench, options.seed)
    try:
        run(report, options.seed, options.quick)
    except ClusterError as error:
        sys.exit(f"bench {bench}: {error}")
    sys.exit(1 if report.missed else 0)


def drive(cluster, name, plan):
    """Runs the load driver on a plan (testing/load_plan.h). Returns its summary."""
    path = pathlib.Path(cluster.path(f"{name}.json"))
    path.write_text(json.dumps(plan), encoding="utf-8")
    try:
        done = subprocess.run([str(BUILD / "load_driver"), str(path)], capture_output=True,
                              text=True, timeout=plan["duration_s"] + DRIVER_MARGIN_S, check=False)
    except subprocess.TimeoutExpired as error:
        raise ClusterError(f"load driver {name}: no end") from error
    if done.returncode != 0:
        raise ClusterError(f"load driver {name}: {done.stderr}")
    return json.loads(done.stdout)


def steady(rate_per_s):
    return [{"at_s": 0, "rate_per_s": rate_per_s}]


def cpu_s(process):
    """The processor time that a process has used so far, in seconds."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / TICKS_PER_S

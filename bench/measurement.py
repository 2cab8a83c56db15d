"""The output of a measurement: one JSON object per line, and the exit code.

    report = Report("herd", seed=1)
    report.add("converged", "peers", 1.2, "s", bound=9)
    sys.exit(report.exit_code())
"""
import json


class Report:
    """Prints each figure as it comes and remembers whether a bound was missed."""

    def __init__(self, bench, seed):
        self.bench = bench
        self.seed = seed
        self.missed = []

    def add(self, measure, variant, value, unit, bound=None):
        """`bound`: the users' target that the value may reach but not exceed, or None.
        A value of None is a measurement that failed, and misses its bound."""
        rounded = round(value, 4) if isinstance(value, float) else value
        line = {"bench": self.bench, "measure": measure, "variant": variant, "value": rounded,
                "unit": unit, "bound": bound, "seed": self.seed}
        print(json.dumps(line), flush=True)
        if bound is not None and (value is None or value > bound):
            self.missed.append(f"{measure}/{variant}")

    def exit_code(self):
        return 1 if self.missed else 0

"""A short play of real processes: overlapping stops, loads, odd peers and settings break no promise.

testing/process_play.py plays more of them; the seed is fixed, so that its plan is the same each time.
"""
import sys

import process_play

TEST_NET = 78
ARGUMENTS = ["--seed", "32", "--nodes", "4", "--seconds", "12", "--net", str(TEST_NET),
             "--mix", "stops,loads,peers,settings"]

if __name__ == "__main__":
    sys.exit(process_play.main(ARGUMENTS))

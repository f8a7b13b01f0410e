#!/usr/bin/env python3
"""Tests tools/account on a few log lines."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[2] / "tools" / "account"
ANSWER = ('{"ms":%d,"instance":"i0","part":"callers","event":"%s","request":"r",'
          '"customer":"acme","reason":"%s"}')


def run_tool(lines, *options):
    result = subprocess.run([sys.executable, TOOL, *options], input="\n".join(lines),
                            capture_output=True, text=True, check=True)
    return result.stdout


class AccountTest(unittest.TestCase):
    def test_counts_refusals_by_second_and_decision(self):
        out = run_tool([ANSWER % (1000, "served", ""),
                        ANSWER % (1100, "busy", "over the customer's rate; retry after 90 ms"),
                        ANSWER % (2100, "busy", "no primary of s; retry after 500 ms")])
        rows = [line.split() for line in out.splitlines()]
        self.assertIn(["second", "served", "rate", "primary"], rows)
        self.assertIn(["1", "1", "1", "0"], rows)
        self.assertIn(["2", "0", "0", "1"], rows)
        self.assertIn(["acme", "2", "1", "1"], rows)

    def test_tells_an_unknown_rate_from_an_exceeded_one(self):
        unknown = "what is left of the customer's rate is not known; retry after 900 ms"
        out = run_tool([ANSWER % (1000, "busy", unknown)])
        self.assertIn(["second", "served", "rate", "unknown"],
                      [line.split() for line in out.splitlines()])

    def test_counts_changes_of_belief(self):
        out = run_tool(['3.5 i7 {"ms":1,"instance":"i7","part":"peers","event":"in_touch"}'])
        self.assertIn(["i7", "0", "0", "1", "0", "0", "0"],
                      [line.split() for line in out.splitlines()])

    def test_skips_lines_outside_of_the_times_and_lines_without_an_event(self):
        out = run_tool(["not a log line", "{broken", ANSWER % (9000, "served", "")],
                       "--to", "5")
        self.assertIn(["all", "0"], [line.split() for line in out.splitlines()])

    def test_writes_a_plot(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "plot.svg"
            run_tool([ANSWER % (1000, "busy", "over the customer's rate")],
                     "--plot", str(path))
            self.assertIn("<rect", path.read_text(encoding="utf-8"))


if __name__ == "__main__":
    unittest.main()

#!/usr/bin/env python3
"""Plays days of a deployment with several seeds, and tells mean and spread.

Every round of a change of policy is measured with it: the same days and seeds
before and after. The bench is named by the variable FLEETBENCH; it leaves an
entry in journal/ for each play.

  FLEETBENCH=.../fleetbench scripts/play_days.py SITE --days quiet-1 trouble-1 \\
      --seeds 1 2 3 4 5 --why "hypothesis" [--small] [--jobs 3] [--csv FILE]
"""

import argparse
import concurrent.futures
import csv
import json
import os
import statistics
import subprocess
import sys
import tempfile

# Price lines shown: those that cost at least this part of the worth on some
# day; 0.005 is a sixth of what the bench's page calls noise.
LEAST_PRICE = 0.005


def play(bench, site, day, seed, options):
    """One play; its report, or None when the bench gave none."""
    with tempfile.TemporaryDirectory() as folder:
        report = os.path.join(folder, "report.json")
        command = [bench, "run", site, day, "--seed", str(seed), "--report",
                   report, "--why", options.why]
        if not options.cpu:
            command.append("--no-cpu")
        if options.small:
            command.append("--small")
        done = subprocess.run(command, capture_output=True, text=True,
                              check=False)
        worth = worth_of(done.stdout, day)
        if worth is None or not os.path.exists(report):
            print(f"{day} seed {seed}: no report\n{done.stdout[-2000:]}"
                  f"{done.stderr[-2000:]}", file=sys.stderr)
            return None
        with open(report, encoding="utf-8") as file:
            read = json.load(file)
    prices = {name: cost for name, _, cost in read["prices"]}
    return {"day": day, "seed": seed, "worth": worth,
            "served": read["served"], "refused": read["refused"],
            "failed": read["failed"], "breaks": read["breaks"],
            "windows": dict((n, v) for n, _, v in read["parts"])
                       .get("worst windows", 0.0),
            "prices": prices}


def worth_of(text, day):
    """The column `worth` of the bench's first table."""
    for line in text.splitlines():
        words = line.split()
        if len(words) > 4 and words[0] == day and "/" in words[1]:
            return float(words[3])
    return None


def spread(values):
    return statistics.stdev(values) if len(values) > 1 else 0.0


def print_table(plays, days):
    print(f"{'day':12} n  worth  sd    min    max    served refused failed "
          "windows  largest prices; rules broken")
    for day in days:
        of_day = [one for one in plays if one["day"] == day]
        if of_day:
            print_row(day, of_day)
    if plays:
        print_row("all", plays)


def print_row(label, plays):
    worths = [one["worth"] for one in plays]
    mean = {key: statistics.mean(one[key] for one in plays)
            for key in ("served", "refused", "failed", "windows")}
    names = plays[0]["prices"]
    prices = {name: statistics.mean(one["prices"].get(name, 0)
                                    for one in plays) for name in names}
    largest = sorted(prices.items(), key=lambda item: -item[1])[:5]
    shown = ", ".join(f"{name} {cost:.3f}" for name, cost in largest
                      if cost >= LEAST_PRICE)
    broken = [f"{one['day']}/{one['seed']}: {one['breaks']}"
              for one in plays if one["breaks"]]
    print(f"{label:12} {len(plays):<2} {statistics.mean(worths):.3f} "
          f"{spread(worths):.3f} {min(worths):6.3f} {max(worths):6.3f}  "
          f"{mean['served']:.3f}  {mean['refused']:.3f}   "
          f"{mean['failed']:.3f}  {mean['windows']:.3f}   {shown}"
          + (f"; BROKEN {broken}" if broken else ""))


def write_csv(path, plays):
    with open(path, "w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(["day", "seed", "worth", "served", "refused", "failed",
                         "windows", "breaks"])
        for one in plays:
            writer.writerow([one["day"], one["seed"], one["worth"],
                             one["served"], one["refused"], one["failed"],
                             one["windows"], one["breaks"]])


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site")
    parser.add_argument("--days", nargs="+", required=True)
    parser.add_argument("--seeds", nargs="+", type=int, required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--small", action="store_true",
                        help="the small twin of a large deployment")
    parser.add_argument("--cpu", action="store_true",
                        help="charge processor time")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--csv")
    options = parser.parse_args()
    bench = os.environ.get("FLEETBENCH")
    if not bench:
        parser.error("FLEETBENCH names no bench")
    subprocess.run([bench, "build"], check=True, stdout=subprocess.DEVNULL)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        todo = [pool.submit(play, bench, options.site, day, seed, options)
                for day in options.days for seed in options.seeds]
        plays = [done.result() for done in todo]
    got = [one for one in plays if one]
    print_table(got, options.days)
    if options.csv:
        write_csv(options.csv, got)
    return 0 if len(got) == len(plays) else 1


if __name__ == "__main__":
    sys.exit(main())

"""Compare wait times, packing, fairness and speed of placement with baselines.

``python bench/placement.py`` runs every workload with every policy, each in a separate
process, and prints tables in Markdown.
"""

import argparse
import json
import resource
import statistics
import subprocess
import sys

from gooseberrydeck_scheduling import BestFit, Scheduler, SchedulerSettings
from placement_baselines import (
    FIFO_QUEUE,
    PLAIN_SETTINGS,
    SINGLE_TEAM,
    FirstFit,
    WorstFit,
    as_fifo,
)
from placement_inputs import QUEUES, SHAPES, JobClass, Workload, make_workload
from placement_run import Measurements, Run

POLICIES = ("ours", "first-fit", "worst-fit", "fifo")
SEEDS = (7, 8, 9)


def make_scheduler(workload: Workload, policy: str) -> Scheduler:
    """Return the scheduler of a policy, with the shares and limits of the workload."""
    if policy == "fifo":
        workload.arrivals = [as_fifo(arrival) for arrival in workload.arrivals]
        scheduler = Scheduler([FIFO_QUEUE], PLAIN_SETTINGS, FirstFit())
        scheduler.set_slices({SINGLE_TEAM: 1_000_000})
        return scheduler
    placers = {"ours": BestFit, "first-fit": FirstFit, "worst-fit": WorstFit}
    settings = SchedulerSettings() if policy == "ours" else PLAIN_SETTINGS
    scheduler = Scheduler(QUEUES, settings, placers[policy]())
    scheduler.set_shares(workload.weights)
    scheduler.set_slices(workload.limits)
    return scheduler


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of the values, or zero if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(measurements: Measurements) -> dict[str, float]:
    """Return the results of one run by name."""
    results: dict[str, float] = {}
    for job_class in JobClass:
        waits = measurements.waits[job_class]
        results[f"{job_class.value} wait p50 s"] = quantile(waits, 0.5)
        results[f"{job_class.value} wait p99 s"] = quantile(waits, 0.99)
        results[f"{job_class.value} not started"] = measurements.unstarted[job_class]
    for position, name in enumerate(("processors", "memory", "accelerators")):
        used = [sample[position] for sample in measurements.used]
        results[f"{name} used %"] = 100 * statistics.fmean(used or [0.0])
    results["4-core gang rooms, mean"] = statistics.fmean(
        measurements.gang_slots or [0]
    )
    by_team = [
        statistics.fmean(values)
        for values in measurements.shortfalls.values()
        if len(values) >= 10
    ]
    results["largest shortfall of a team %"] = 100 * max(by_team, default=0.0)
    results["preemptions"] = measurements.preemptions
    results["starts"] = measurements.starts
    results["starts on bad workers"] = measurements.faulty_worker_starts
    results["tasks succeeded"] = measurements.ends["succeeded"]
    results["most running"] = measurements.peak_running
    results["decisions a second"] = measurements.decisions / measurements.scheduler_s
    results["decision p99 ms"] = 1_000 * quantile(measurements.decision_s, 0.99)
    results["tick p99 ms"] = 1_000 * quantile(measurements.tick_s, 0.99)
    results["tick max ms"] = 1_000 * max(measurements.tick_s)
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    results["process peak MiB"] = peak_kib / 1_024
    return results


def run_one(shape: str, policy: str, seed: int) -> dict[str, float]:
    """Run one workload with one policy in this process."""
    workload = make_workload(SHAPES[shape], seed)
    scheduler = make_scheduler(workload, policy)
    return summarize(Run(workload, scheduler, seed).run())


def run_seeds(shape: str, policy: str, seeds: list[int]) -> dict[str, float]:
    """Return the mean of each result over the seeds."""
    runs = [run_in_subprocess(shape, policy, seed) for seed in seeds]
    return {name: statistics.fmean(run[name] for run in runs) for name in runs[0]}


def run_in_subprocess(shape: str, policy: str, seed: int) -> dict[str, float]:
    """Run one workload with one policy in a separate process."""
    command = [sys.executable, __file__, "--one", shape, policy, "--seeds", str(seed)]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    results: dict[str, float] = json.loads(completed.stdout)
    return results


def print_table(shape: str, columns: dict[str, dict[str, float]]) -> None:
    """Print the results of one workload, with a column for each policy."""
    print(f"\n### {shape}\n")
    print("| | " + " | ".join(columns) + " |")
    print("|---|" + "---:|" * len(columns))
    for name in next(iter(columns.values())):
        cells = (f"{column[name]:,.2f}" for column in columns.values())
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


def main() -> None:
    """Run the workloads and policies given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--one", nargs=2, metavar=("INPUT", "POLICY"))
    parser.add_argument("--inputs", nargs="+", default=list(SHAPES))
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--seeds", type=int, nargs="+", default=list(SEEDS))
    options = parser.parse_args()
    if options.one:
        print(json.dumps(run_one(*options.one, options.seeds[0])))
        return
    for shape in options.inputs:
        columns = {
            policy: run_seeds(shape, policy, options.seeds)
            for policy in options.policies
        }
        print_table(shape, columns)


if __name__ == "__main__":
    main()

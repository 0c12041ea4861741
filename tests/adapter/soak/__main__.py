"""Runs seeds: ``python -m tests.adapter.soak --seeds 50``.

Prints a line for each seed. The timeline, observations and logs of hosts of a
seed that shows a violation are kept; ``--seed N`` runs one again.
"""

import concurrent.futures
import json
import pathlib
import shutil
import sys
import tempfile

import attrs
import fire

from .process import checks
from .process import run
from .version import timeline

_SHOWN = 3


def _run_seed(seed: int, keep: str) -> tuple[str, bool]:
    """Return the line of a seed and whether all checks hold."""
    directory = pathlib.Path(keep) / f'seed-{seed}'
    directory.mkdir(parents=True, exist_ok=True)
    plan = timeline.generate(seed)
    result = run.run(plan, directory, checks.GUARANTEES + checks.FURTHER)
    if not result.violations:
        shutil.rmtree(directory)
        return result.line(), True
    (directory / 'timeline.txt').write_text(f'{plan}\n')
    with (directory / 'observations.jsonl').open('w') as output:
        for entry in (*result.record.sent, *result.record.runs):
            output.write(json.dumps(attrs.asdict(entry), default=repr) + '\n')
    shown = [
        f'  {name}: {line}'
        for name, lines in result.violations.items()
        for line in lines[:_SHOWN]
    ]
    replay = f'  replay: python -m tests.adapter.soak --seed {seed}'
    return '\n'.join(
        [result.line(), str(plan), *shown, f'  logs: {directory}', replay]
    ), False


def main(
    seeds: int = 10,
    first: int = 1,
    seed: int | None = None,
    jobs: int = 1,
    keep: str = '',
    until_found: bool = False,
) -> None:
    """Run seeds and exit with 1 if a check fails.

    :param seeds: how many seeds to run, from ``first`` on.
    :param seed: run only this one.
    :param jobs: seeds that run at the same time.
    :param keep: directory for the logs of seeds that fail.
    :param until_found: stop after the first seed that fails.
    """
    keep = keep or tempfile.mkdtemp(prefix='soak-')
    chosen = range(first, first + seeds) if seed is None else [seed]
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        tasks = [pool.submit(_run_seed, each, keep) for each in chosen]
        for task in tasks:
            line, holds = task.result()
            print(line, flush=True)
            failed += not holds
            if failed and until_found:
                for other in tasks:
                    other.cancel()
                break
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)

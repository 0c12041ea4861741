"""Callers beside a crowd: ``python -m tests.adapter.caller_benchmark``.

Takes the flags of ``corianderport_testkit.bench``.
"""

import functools

import fire

from corianderport_testkit import bench
from corianderport_testkit.process import experiments

from . import caller_experiments

_NAME = 'callers'


def main() -> None:
    """Parse the flags and run the experiment."""
    experiments.add(_NAME, caller_experiments.Callers.from_config)
    fire.Fire(functools.partial(bench.run, _NAME))


if __name__ == '__main__':
    main()

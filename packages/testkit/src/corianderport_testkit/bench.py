"""corianderport_testkit.bench

Command-line tool that runs load tests and experiments.
"""

import pathlib
import sys

import fire
import rich.console

from corianderport_testkit.process import bench_output
from corianderport_testkit.process import experiments

__all__ = ['main', 'run']

_DEFAULT_OUTPUT = '/tmp/corianderport-bench'


def _measure(
    name: str, runs: int, quick: bool, console: rich.console.Console
) -> tuple[experiments.Experiment, list[bench_output.Run]]:
    """Run an experiment and return, for each run, its outcomes by variant.

    Each run measures all variants, one after another.
    """
    measured: list[bench_output.Run] = []
    with experiments.open_experiment(name) as experiment:
        for number in range(runs):
            scale = experiments.Scale(number + 1, quick)
            outcomes = {}
            for variant in experiment.variants:
                console.print(f'{name}: run {number + 1}, {variant}')
                outcomes[variant] = experiment.measure(variant, scale)
            measured.append(outcomes)
    return experiment, measured


def run(
    *names: str,
    runs: int = 5,
    quick: bool = False,
    output: str = _DEFAULT_OUTPUT,
) -> None:
    """Run experiments and write tables, JSON and plots.

    :param names: experiments to run; all of them by default.
    :param runs: how often each variant is measured, in turn with the others.
    :param quick: use shorter loads, to try out an experiment.
    :param output: directory for the results.
    """
    all_names = experiments.names()
    unknown = [name for name in names if name not in all_names]
    if unknown:
        print(
            f'unknown experiment {unknown[0]!r}; known: '
            f'{", ".join(all_names)}',
            file=sys.stderr,
        )
        sys.exit(2)
    console = rich.console.Console(stderr=True)
    directory = pathlib.Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    for name in names or all_names:
        experiment, measured = _measure(name, runs, quick, console)
        markdown = '\n\n'.join(
            (
                f'## {name}',
                bench_output.figures_table(measured),
                bench_output.bounds_table(experiment.bounds, measured),
            )
        )
        print(markdown + '\n', flush=True)
        (directory / f'{name}.md').write_text(markdown + '\n', 'utf-8')
        bench_output.write_json(directory / f'{name}.json', measured)
        bench_output.plot(directory / f'{name}.svg', name, measured[-1])


def main() -> None:
    """Parse the flags and run the experiments."""
    fire.Fire(run)


if __name__ == '__main__':
    main()

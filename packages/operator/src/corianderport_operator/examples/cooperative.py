"""corianderport_operator.examples.cooperative

Deployment of the Fossil Coast Walkers Co-operative.

    corianderport print cooperative.py > cooperative.json
"""

from corianderport_operator.version import builder
from corianderport_operator.version import printing
from corianderport_tier.version import configuration

__all__ = ['describe', 'main']

NETWORK = '10'
DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
WALKER_APPS = [f'walker-app-{number:02d}' for number in range(1, 11)]
GUIDE_ROSTERS = [f'guide-roster-{number:02d}' for number in range(1, 16)]


def searchers(port: int, *counts: int) -> dict[str, list[str]]:
    """Return the addresses of searchers by data centre.

    ``counts`` has the number of searchers in each data centre.
    """
    return {
        centre: [
            f'{NETWORK}.{net}.0.{host}:{port}' for host in range(1, count + 1)
        ]
        for net, (centre, count) in enumerate(zip(DATA_CENTRES, counts), 21)
    }


def describe() -> builder.Deployment:
    """Describe the deployment; increase the version with each change."""
    walkers = builder.Deployment(version=1, region='fossil-coast')
    for centre in DATA_CENTRES:
        walkers.data_centre(centre)
    # To take a data centre out of service for maintenance:
    # walkers.out_of_service('dc-b')

    for number, name in enumerate(WALKER_APPS + GUIDE_ROSTERS):
        walkers.service(
            name,
            searchers(8701 + number, 1, 1, 1),
            slots=2,
            connections=25,
            connect_ms=6,
        )
    walkers.service(
        'booking-desk',
        searchers(8801, 2, 1, 1),
        slots=6,
        connections=50,
        connect_ms=1,
    )
    walkers.service(
        'member-accounts',
        searchers(8802, 1, 1, 1),
        slots=6,
        connections=50,
        connect_ms=1,
    )

    walkers.snapshot('walks', 1, builder.even_shards(WALKER_APPS, 2, 4_000))
    walkers.snapshot('rosters', 1, builder.even_shards(GUIDE_ROSTERS, 2, 3000))
    walkers.snapshot(
        'departures', 1, builder.even_shards(['booking-desk'], 4, 2_000)
    )
    walkers.snapshot(
        'members', 1, builder.even_shards(['member-accounts'], 2, 1_000)
    )

    walkers.search(
        'tide-windows',
        index='walks',
        spans=WALKER_APPS,
        deadline_ms=400,
        coverage=configuration.CoverageGoal.ALL,
        worth=2,
    )
    walkers.search(
        'guides',
        index='rosters',
        spans=GUIDE_ROSTERS,
        deadline_ms=600,
        coverage=configuration.CoverageGoal.AT_LEAST,
        minimum_coverage=0.95,
    )
    walkers.search(
        'open-departures',
        index='departures',
        spans=['booking-desk'],
        deadline_ms=400,
        coverage=configuration.CoverageGoal.ALL,
        worth=2,
    )
    walkers.search(
        'members',
        index='members',
        spans=['member-accounts'],
        deadline_ms=500,
        coverage=configuration.CoverageGoal.ALL,
    )

    # A reservation must run at most once; see tickets in docs/operators.md.
    walkers.action(
        'reserve-seat', service='booking-desk', deadline_ms=2_000, worth=4
    )

    walkers.customer('default', share=0.2)
    walkers.customer('walker-app', share=0.5)
    walkers.customer('guides', share=0.2)
    walkers.customer('office', share=0.1)
    return walkers


def main() -> None:
    """Print the configuration document."""
    print(printing.printed(describe().build()), end='')


if __name__ == '__main__':
    main()

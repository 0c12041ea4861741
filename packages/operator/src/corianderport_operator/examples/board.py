"""corianderport_operator.examples.board

Deployment of the Gujarat Circus Arts Supply Board.

    corianderport print board.py > board.json
"""

from corianderport_operator.version import builder
from corianderport_operator.version import printing
from corianderport_tier.version import configuration

__all__ = ['describe', 'main']

NETWORK = '10'
DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
CATALOGUES = [f'catalogue-{number:02d}' for number in range(1, 11)]
REPAIR_DESKS = [f'repair-desk-{number:02d}' for number in range(1, 16)]


def searchers(port: int, *counts: int) -> dict[str, list[str]]:
    """Return the addresses of searchers by data centre.

    ``counts`` has the number of searchers in each data centre.
    """
    return {
        centre: [
            f'{NETWORK}.{net}.0.{host}:{port}' for host in range(1, count + 1)
        ]
        for net, (centre, count) in enumerate(zip(DATA_CENTRES, counts), 1)
    }


def describe() -> builder.Deployment:
    """Describe the deployment; increase the version with each change."""
    board = builder.Deployment(version=1, region='gujarat')
    for centre in DATA_CENTRES:
        board.data_centre(centre)
    # To take a data centre out of service for maintenance:
    # board.out_of_service('dc-b')

    for number, name in enumerate(CATALOGUES + REPAIR_DESKS):
        board.service(
            name,
            searchers(8701 + number, 1, 1, 1),
            slots=2,
            connections=25,
            connect_ms=6,
        )
    board.service(
        'booking-lookup',
        searchers(8801, 3, 2, 2),
        slots=2,
        connections=100,
        connect_ms=1,
    )
    board.service(
        'grant-records',
        searchers(8802, 2, 1, 1),
        slots=2,
        connections=100,
        connect_ms=1,
    )

    board.snapshot('catalogue', 1, builder.even_shards(CATALOGUES, 2, 4_000))
    board.snapshot('repairs', 1, builder.even_shards(REPAIR_DESKS, 2, 3_000))
    board.snapshot(
        'bookings', 1, builder.even_shards(['booking-lookup'], 4, 2_000)
    )
    board.snapshot(
        'grants', 1, builder.even_shards(['grant-records'], 2, 1_000)
    )

    board.search('stock', index='catalogue', spans=CATALOGUES, deadline_ms=300)
    board.search(
        'repairs',
        index='repairs',
        spans=REPAIR_DESKS,
        deadline_ms=500,
        worth=0.5,
    )
    board.search(
        'bookings',
        index='bookings',
        spans=['booking-lookup'],
        deadline_ms=200,
        coverage=configuration.CoverageGoal.ALL,
        worth=3,
    )
    board.search(
        'grants',
        index='grants',
        spans=['grant-records'],
        deadline_ms=500,
        coverage=configuration.CoverageGoal.AT_LEAST,
        minimum_coverage=0.9,
        worth=2,
    )

    board.customer('default', share=0.1)
    board.customer('shops', share=0.5)
    board.customer('schools', share=0.25)
    board.customer('board-office', share=0.15)
    return board


def main() -> None:
    """Print the configuration document."""
    print(printing.printed(describe().build()), end='')


if __name__ == '__main__':
    main()

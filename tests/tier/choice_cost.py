"""Processor time of a choice: ``python -m tests.tier.choice_cost``.

A round is a gather of 54 services with three searchers each.
"""

import random
import statistics
import sys
import time

from corianderport_testkit import clock as clock_module
from corianderport_tier.process import fleet_share
from corianderport_tier.process import placement
from corianderport_tier.process import searcher_state
from corianderport_tier.process import send_order
from corianderport_tier.process import service_searchers

from . import entries
from . import placement_simulation

_SERVICES = 54
_ROUNDS = 300
_BOUNDS = fleet_share.FleetBounds(0.2, 52, 10, 1.5, 5)


def _service(
    clock: clock_module.ManualClock, policy: str, by_urgency: bool = False
) -> service_searchers.ServiceSearchers:
    service = service_searchers.ServiceSearchers(
        'stock',
        'dc-a',
        fleet_share.FleetShare(_BOUNDS, 'h1', lambda: ('h1',), clock),
        lambda registration, limit: placement_simulation.Pool(),
        clock,
        random.Random(1),
        placement.PlacementSetting(policy),
    )
    service.update(
        entries.parameters(connections=120),
        [
            entries.registration(f's{n}', data_centre=f'dc-{centre}')
            for n, centre in enumerate('abc')
        ],
        by_urgency=by_urgency,
    )
    return service


def _measure(policy: str) -> tuple[float, float]:
    """Return the microseconds of one choice and of one result."""
    clock = clock_module.ManualClock()
    services = [_service(clock, policy) for _ in range(_SERVICES)]
    request = entries.request_class(0.01)
    result = searcher_state.SendResult(
        False, answered=True, elapsed_s=0.012, median_s=0.01
    )
    choose_us, finish_us = [], []
    for _ in range(_ROUNDS):
        started_s = time.process_time()
        choices = [s.choose((), request) for s in services]
        chosen_s = time.process_time()
        choose_us.append((chosen_s - started_s) / _SERVICES * 1e6)
        clock.advance(0.01)
        chosen_s = time.process_time()
        for service, choice in zip(services, choices, strict=True):
            assert isinstance(choice, service_searchers.Choice)
            service.finish(choice, result)
        finish_us.append((time.process_time() - chosen_s) / _SERVICES * 1e6)
    return statistics.median(choose_us), statistics.median(finish_us)


def _measure_waiting(by_urgency: bool, waiting: int) -> float:
    """Return the microseconds of a result that serves a waiting send.

    Another send then begins to wait, so that their number stays the same.
    """
    clock = clock_module.ManualClock()
    service = _service(clock, placement.LEAST_LOADED, by_urgency)
    request = entries.request_class(0.01)
    rng = random.Random(1)
    running: list[service_searchers.Choice] = []

    def serve(send: send_order.WaitingSend) -> None:
        assert send.choice is not None
        running.append(send.choice)

    def wait() -> None:
        urgency = send_order.Urgency.of_request(
            rng.randrange(3), clock.monotonic() + rng.uniform(0, 0.3), 1.0
        )
        service.wait_for_capacity(
            send_order.WaitingSend(frozenset(), request, urgency, serve)
        )

    while isinstance(
        choice := service.choose((), request), service_searchers.Choice
    ):
        running.append(choice)
    for _ in range(waiting):
        wait()
    spent_us = []
    result = searcher_state.SendResult(False)
    for _ in range(_ROUNDS):
        clock.advance(0.001)
        started_s = time.perf_counter()
        service.finish(running.pop(0), result)
        spent_us.append((time.perf_counter() - started_s) * 1e6)
        wait()
    return statistics.median(spent_us)


def main() -> None:
    """Print one line for each policy, and for each order of waiting sends."""
    for policy in (placement.LEAST_LOADED, placement.EXPECTED_FINISH):
        choose_us, finish_us = _measure(policy)
        sys.stdout.write(
            f'{policy}: choice {choose_us:.1f} us, result {finish_us:.1f} us\n'
        )
    for by_urgency in (False, True):
        figures = ', '.join(
            f'{_measure_waiting(by_urgency, waiting):.1f} us with {waiting}'
            for waiting in (1, 100, 4_000)
        )
        order = send_order.URGENCY if by_urgency else send_order.ARRIVAL
        sys.stdout.write(
            f'result while sends wait, order by {order}: {figures}\n'
        )


if __name__ == '__main__':
    main()

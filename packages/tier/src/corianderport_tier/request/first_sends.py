"""corianderport_tier.request.first_sends

Starts the parts of a request.

If a service has too few searchers for its requests, all gathers that cover it
wait in its queue, and none of their parts is answered in time. A gather that
may leave out some parts defers those whose replies are expected late, so that
the queue stays short enough for the gathers that need them.
"""

import collections.abc
import random

from corianderport_tier.request import part as part_module

__all__ = ['send']


def send(
    parts: collections.abc.Sequence[part_module.Part],
    spare: int,
    rng: random.Random,
) -> None:
    """Send the parts, or defer those that are expected too late.

    :param spare: number of parts that may be deferred.
    """
    for part in parts:
        part.send_first(may_defer=spare > 0)
    deferred = [p for p in parts if p.state is part_module.PartState.DEFERRED]
    # If more services are overloaded than parts may be deferred, requests
    # differ in what they leave out, so that all these services are relieved.
    for part in rng.sample(deferred, max(0, len(deferred) - spare)):
        part.send_deferred()

"""corianderport_testkit.process.state_costs

What a configuration and a list of hosts cost a host that keeps them.
"""

import collections.abc
import time
import tracemalloc
import typing

import attrs
import thriftpy2.utils

from corianderport_testkit.process import experiments
from corianderport_testkit.version import deployments
from corianderport_tier.process import heartbeats
from corianderport_tier.process import membership
from corianderport_tier.process import rendezvous
from corianderport_tier.version import configuration
from corianderport_wire.connection import heartbeat_codec
from corianderport_wire.version import document

__all__ = ['StateCost']

_HOSTS = 60
_RANKED = 100
_RUMOURS = 10


@attrs.define
class StateCost:
    """Bytes and processor time a searcher, and a searcher and host."""

    variants = ('services-100', 'services-1000')
    bounds = ()

    @classmethod
    def from_config(cls) -> 'StateCost':
        """Return the experiment; it starts no process."""
        return cls()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        pass

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Encode, decode and check a document, and rank hosts."""
        services = int(variant.partition('-')[2])
        deployment = deployments.Deployment(
            services=services, shards=1, documents=services
        )
        built = deployment.build(1, _addresses(deployment))
        encoded = document.DocumentCodec().encode(built)
        searchers = services * len(deployments.DATA_CENTRES)
        decode_s = _cpu_s(lambda: document.DocumentCodec().decode(encoded))
        tracemalloc.start()
        kept = document.DocumentCodec().decode(encoded)
        kept_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rank_s = _cpu_s(lambda: _rank(kept))
        return experiments.Outcome(
            {
                'document_bytes_a_searcher': len(encoded) / searchers,
                'decode_us_a_searcher': decode_s * 1e6 / searchers,
                'state_bytes_a_searcher': kept_bytes / searchers,
                'rank_us_a_pair': rank_s * 1e6 / (_RANKED * _HOSTS),
                'heartbeat_bytes': float(_heartbeat_bytes(0)),
                'rumour_bytes': (
                    _heartbeat_bytes(_RUMOURS) - _heartbeat_bytes(0)
                )
                / _RUMOURS,
            }
        )


def _addresses(deployment: deployments.Deployment) -> dict[str, str]:
    return {
        name: f'10.{centre}.{number // 250}.{number % 250 + 1}:8080'
        for centre, data_centre in enumerate(deployments.DATA_CENTRES)
        for number, name in enumerate(deployment.searcher_names(data_centre))
    }


def _rank(accepted: configuration.Configuration) -> None:
    centres = deployments.DATA_CENTRES
    hosts = [
        membership.Member(f'host-{n}', centres[n % 3], f'10.9.0.{n}:9000')
        for n in range(_HOSTS)
    ]
    for name in list(accepted.services)[:_RANKED]:
        rendezvous.rank(name, hosts)


def _heartbeat_bytes(rumours: int) -> int:
    """Return the length of an encoded heartbeat, without its frame."""
    member = membership.Member(
        'host-0001', 'dc-a', '10.9.0.1:9000', incarnation='a' * 32
    )
    rumour = membership.Rumour(member)
    message = heartbeats.Heartbeat(rumour, 1, (rumour,) * rumours)
    encoded = heartbeat_codec.heartbeat_to_thrift(message)
    return len(thriftpy2.utils.serialize(encoded))


def _cpu_s(call: collections.abc.Callable[[], object]) -> float:
    started_s = time.process_time()
    call()
    return time.process_time() - started_s

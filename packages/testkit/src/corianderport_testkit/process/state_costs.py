"""corianderport_testkit.process.state_costs

Measures what a configuration and a host list cost each entry host.
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

_HOST_COUNT = 60
# Services for which the hosts are ranked.
_RANKED_SERVICES = 100
# Rumours in the longer of the two heartbeats that are compared.
_RUMOUR_COUNT = 10


@attrs.define
class StateCost:
    """Measures the cost of documents, of ranking hosts and of heartbeats.

    Costs are bytes and CPU time: for each searcher in the document, for each
    pair of a service and a host that is ranked for it, and for each rumour in
    a heartbeat.
    """

    variants = ('services-100', 'services-1000')
    bounds = ()

    @classmethod
    def from_config(cls) -> 'StateCost':
        """Return the experiment; it starts no processes."""
        return cls()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        pass

    def measure(
        self, variant: str, scale: experiments.Scale
    ) -> experiments.Outcome:
        """Encode, decode and validate a document; rank hosts for services."""
        service_count = int(variant.partition('-')[2])
        deployment = deployments.Deployment(
            services=service_count, shards=1, documents=service_count
        )
        config = deployment.build(1, _addresses(deployment))
        encoded = document.DocumentCodec().encode(config)
        searcher_count = service_count * len(deployments.DATA_CENTRES)
        decode_s = _measure_cpu_s(
            lambda: document.DocumentCodec().decode(encoded)
        )
        tracemalloc.start()
        decoded = document.DocumentCodec().decode(encoded)
        retained_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rank_s = _measure_cpu_s(lambda: _rank_hosts(decoded))
        return experiments.Outcome(
            {
                'document_bytes_a_searcher': len(encoded) / searcher_count,
                'decode_us_a_searcher': decode_s * 1e6 / searcher_count,
                'state_bytes_a_searcher': retained_bytes / searcher_count,
                'rank_us_a_pair': rank_s
                * 1e6
                / (_RANKED_SERVICES * _HOST_COUNT),
                'heartbeat_bytes': float(_heartbeat_bytes(0)),
                'rumour_bytes': (
                    _heartbeat_bytes(_RUMOUR_COUNT) - _heartbeat_bytes(0)
                )
                / _RUMOUR_COUNT,
            }
        )


def _addresses(deployment: deployments.Deployment) -> dict[str, str]:
    """Return a distinct address for each searcher; nothing connects to it."""
    return {
        name: f'10.{position}.{number // 250}.{number % 250 + 1}:8080'
        for position, data_centre in enumerate(deployments.DATA_CENTRES)
        for number, name in enumerate(deployment.searcher_names(data_centre))
    }


def _rank_hosts(config: configuration.Configuration) -> None:
    data_centres = deployments.DATA_CENTRES
    hosts = [
        membership.Member(f'host-{n}', data_centres[n % 3], f'10.9.0.{n}:9000')
        for n in range(_HOST_COUNT)
    ]
    for name in list(config.services)[:_RANKED_SERVICES]:
        rendezvous.rank(name, hosts)


def _heartbeat_bytes(rumours: int) -> int:
    """Return the length of an encoded heartbeat without its framing."""
    member = membership.Member(
        'host-0001', 'dc-a', '10.9.0.1:9000', incarnation='a' * 32
    )
    rumour = membership.Rumour(member)
    message = heartbeats.Heartbeat(rumour, 1, (rumour,) * rumours)
    encoded = heartbeat_codec.heartbeat_to_thrift(message)
    return len(thriftpy2.utils.serialize(encoded))


def _measure_cpu_s(call: collections.abc.Callable[[], object]) -> float:
    started_s = time.process_time()
    call()
    return time.process_time() - started_s

"""Tests of serving a described deployment with generated content."""

import pathlib

import pytest

from corianderport_operator.examples import board
from corianderport_testkit.process import document_searchers
from corianderport_testkit.process import served_deployment
from corianderport_tier import errors


def test_searchers_outside_the_loopback_network_are_refused() -> None:
    """Guards against a demo that contacts searchers outside the machine.

    The hosts connect to the addresses in the description, which are those of
    real searchers if it is served without being adapted.
    """
    with pytest.raises(errors.ConfigurationInvalid, match='10.1.0.1:8801'):
        served_deployment.ServedDeployment(str(pathlib.Path(board.__file__)))


def test_service_content_has_the_shards_of_its_service() -> None:
    """Guards against searchers that answer for shards of other services.

    An index spans the shards of several services. A searcher that took all
    of them would answer for shards that its service does not have.
    """
    content = document_searchers.ServiceContent.from_configuration(
        board.describe().build(), 'grant-records'
    )
    assert [shard.name for shard in content.shard_map()] == [
        'grant-records-1',
        'grant-records-2',
    ]
    assert content.documents == 1_000

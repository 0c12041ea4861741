"""DocumentCodec: stable output, lossless decoding and faulty input."""

import json

import pytest

from corianderport_testkit.version import deployments
from corianderport_tier import errors
from corianderport_wire.version import document


def _encoded(out_of_service: set[str] = set()) -> bytes:
    deployment = deployments.Deployment(snapshot_numbers=(1, 2))
    names = [
        name
        for centre in deployments.DATA_CENTRES
        for name in deployment.searcher_names(centre)
    ]
    addresses = {n: f'127.0.0.1:{i + 1}' for i, n in enumerate(names)}
    built = deployment.build(7, addresses, out_of_service)
    return document.DocumentCodec().encode(built)


def test_one_change_changes_one_line() -> None:
    """Guards against diffs that show more than the change under review."""
    before = _encoded().decode().splitlines()
    after = _encoded({'catalogue-02-dc-b'}).decode().splitlines()
    changed = [b for a, b in zip(before, after, strict=True) if a != b]
    assert len(changed) == 1
    assert json.loads(changed[0].strip(' ,'))['name'] == 'catalogue-02-dc-b'


def test_integers_in_float_fields_are_normalized() -> None:
    """Guards against two encodings of the same configuration.

    JSON written by hand may have an integer in a float field.
    """
    encoded = _encoded()
    with_integers = encoded.replace(b'500.0', b'500')
    assert with_integers != encoded
    documents = document.DocumentCodec()
    assert documents.encode(documents.decode(with_integers)) == encoded


@pytest.mark.parametrize(
    ('old', 'new', 'text'),
    [
        (b'"version": 7', b'"version": 0', 'F01 version'),
        (b'"slots": 2', b'"slots": 0', 'F11 service catalogue-00: slots'),
        (b'"slots": 2', b'"slot": 2', 'slot'),
        (b'"dc-a", "region"', b'"dc-b", "region"', 'is defined twice'),
        (b'{', b'[', 'Expecting'),
    ],
)
def test_invalid_document_is_rejected(
    old: bytes, new: bytes, text: str
) -> None:
    """Guards against activating a faulty document."""
    encoded = _encoded()
    assert old in encoded
    with pytest.raises(errors.ConfigurationInvalid, match=text):
        document.DocumentCodec().decode(encoded.replace(old, new))

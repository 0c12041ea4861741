"""AvailabilityRecords: how long statements of searchers are kept."""

from corianderport_tier.process import stated_availability


def test_records_of_gone_lifetimes_are_bounded() -> None:
    """Guards against memory that grows with each searcher that leaves."""
    records = stated_availability.AvailabilityRecords()
    for number in range(1_000):
        records.of((f's{number}', 1)).record(True, 0.0, 0.0)
    records.of(('paused', 1)).record(False, 5.0, 0.0)
    records.of(('idle', 1))
    listed = ('s0', 1)
    records.discard_obsolete({listed}, 1.0)
    assert len(records._records) < 300
    assert records.of(listed).leaving
    assert records.of(('s999', 1)).leaving
    assert not records.of(('paused', 1)).permits_request(1.0)
    records.discard_obsolete({listed}, 6.0)
    assert ('paused', 1) not in records._records
    assert ('idle', 1) not in records._records

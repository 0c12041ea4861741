"""corianderport_testkit.process.crowd_rows

The crowds of clients that hosts are tested and measured under.
"""

import attrs

from corianderport_testkit.connection import crowd_behaviours as behaviours
from corianderport_testkit.process import crowds

__all__ = ['ENDLESS', 'ROWS', 'Row', 'SERVED']

# Crowds that hold memory are smaller than the number of descriptors, so that
# a test that fails shows which of the two was exceeded.
_MANY = 200
# More connections than the process of a test has descriptors.
_MORE_THAN_DESCRIPTORS = 300
_FEW = 100
# Smallest buffer that the kernel grants, so that answers stay with the host.
_RECEIVE_BYTES = 2_048

SERVED = crowds.Target('served', 'front', '/crowded/x')
ENDLESS = crowds.Target('endless', 'front', '/endless/x')
_LARGE = crowds.Target('served-large', 'front', '/large/x')
_UNROUTED = crowds.Target('unrouted', 'front', '/none/x')
_READY = crowds.Target('ready', 'ready', '/corianderport/readyz')
_READY_OTHER = crowds.Target('ready-other-path', 'ready', '/other')
_METRICS = crowds.Target('metrics', 'metrics', '/metrics')
# The bytes of the requests arrive there as they are.
_PEERS = crowds.Target('peers', 'control', '/')

_SERVED_ONLY = (SERVED,)
_HTTP = (SERVED, _UNROUTED, _READY, _METRICS)
_ALL = (SERVED, _UNROUTED, _READY, _READY_OTHER, _METRICS, _PEERS)


@attrs.frozen
class Row:
    """A crowd and the targets that it is sent to."""

    name: str
    behaviours: tuple[crowds.Behaviour, ...]
    connections: int
    targets: tuple[crowds.Target, ...]
    receive_bytes: int | None = None


# The readiness and metrics addresses and paths without a route share the code
# that receives requests with the served paths. Their rows are those whose
# bytes must not be stored there, and those that take connections. The peers'
# address reads 36 bytes of an unauthenticated client, whatever they are, so
# that only rows that differ in these and in the use of connections are sent
# to it.
ROWS = (
    Row('body-whole', (behaviours.whole_body,), _MANY, _HTTP),
    Row(
        'body-whole-short-of-end',
        (behaviours.whole_body_short_of_its_end,),
        _MANY,
        _ALL,
    ),
    Row('body-pieces', (behaviours.body_in_pieces,), _MANY, _SERVED_ONLY),
    Row(
        'body-pieces-short-of-end',
        (behaviours.body_in_pieces_short_of_its_end,),
        _MANY,
        _SERVED_ONLY,
    ),
    Row('body-chunked', (behaviours.body_in_chunks,), _MANY, _SERVED_ONLY),
    Row(
        'body-chunked-short-of-end',
        (behaviours.body_in_chunks_short_of_its_end,),
        _MANY,
        _HTTP,
    ),
    Row('oversized-length', (behaviours.oversized_body,), _MANY, _HTTP),
    Row(
        'oversized-length-expect',
        (behaviours.oversized_body_expecting,),
        _MANY,
        _SERVED_ONLY,
    ),
    Row('oversized-chunked', (behaviours.oversized_chunks,), _MANY, _HTTP),
    Row(
        'oversized-chunked-expect',
        (behaviours.oversized_chunks_expecting,),
        _MANY,
        _SERVED_ONLY,
    ),
    Row('short-fields', (behaviours.short_fields,), _MANY, _HTTP),
    Row(
        'short-fields-short-of-end',
        (behaviours.short_fields_short_of_their_end,),
        _MANY,
        _SERVED_ONLY,
    ),
    Row(
        'short-fields-unfinished-body',
        (behaviours.short_fields_and_unfinished_body,),
        _MANY,
        _HTTP,
    ),
    Row(
        'one-byte-chunks',
        (behaviours.one_byte_chunks,),
        _FEW,
        (SERVED, _UNROUTED),
    ),
    Row(
        'chunk-extension',
        (behaviours.long_chunk_extension,),
        _MANY,
        (SERVED, _UNROUTED),
    ),
    Row(
        'chunks-with-extensions',
        (behaviours.chunks_with_long_extensions,),
        _MANY,
        (SERVED, _UNROUTED),
    ),
    Row('trailers', (behaviours.trailers,), _FEW, _SERVED_ONLY),
    Row(
        'trailers-short-of-end',
        (behaviours.trailers_short_of_their_end,),
        _MANY,
        (SERVED, _UNROUTED),
    ),
    Row(
        'pipelined',
        (behaviours.pipelined,),
        _FEW,
        (SERVED, _LARGE, _UNROUTED, _READY, _METRICS),
        _RECEIVE_BYTES,
    ),
    Row(
        'pipelined-bodies',
        (behaviours.pipelined_with_bodies,),
        _FEW,
        (SERVED, _UNROUTED),
        _RECEIVE_BYTES,
    ),
    Row('slow-head', (behaviours.slow_head,), _MORE_THAN_DESCRIPTORS, _ALL),
    Row(
        'slow-body',
        (behaviours.slow_body,),
        _MORE_THAN_DESCRIPTORS,
        _SERVED_ONLY,
    ),
    Row(
        'slow-reader',
        (behaviours.slow_reader,),
        _MORE_THAN_DESCRIPTORS,
        (_LARGE, _METRICS),
        _RECEIVE_BYTES,
    ),
    Row(
        'half-closed',
        (behaviours.half_closed, behaviours.half_closed_after_request),
        _MORE_THAN_DESCRIPTORS,
        (SERVED, _PEERS),
    ),
    Row('silent', (behaviours.silent,), _MORE_THAN_DESCRIPTORS, _ALL),
    Row(
        'reset',
        (behaviours.reset,),
        _MORE_THAN_DESCRIPTORS,
        (SERVED, _READY, _PEERS),
    ),
    Row(
        'endless-head',
        (behaviours.endless_head, behaviours.endless_line),
        _MORE_THAN_DESCRIPTORS,
        (SERVED, _READY),
    ),
    Row(
        'mix',
        (
            behaviours.whole_body,
            behaviours.whole_body_short_of_its_end,
            behaviours.body_in_chunks_short_of_its_end,
            behaviours.short_fields_and_unfinished_body,
            behaviours.trailers_short_of_their_end,
            behaviours.long_chunk_extension,
            behaviours.pipelined,
            behaviours.slow_head,
            behaviours.slow_reader,
            behaviours.silent,
            behaviours.reset,
            behaviours.endless_head,
        ),
        _MORE_THAN_DESCRIPTORS,
        _ALL,
    ),
)

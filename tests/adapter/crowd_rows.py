"""The crowds of clients that hosts are tested and measured under."""

import attrs

from . import crowd_behaviours as behaviours
from . import crowds

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

_EVERY = (SERVED, _UNROUTED, _READY, _METRICS, _PEERS)
_ALL = (*_EVERY, _READY_OTHER)


@attrs.frozen
class Row:
    """A crowd and the targets that it is sent to."""

    name: str
    behaviours: tuple[crowds.Behaviour, ...]
    connections: int
    targets: tuple[crowds.Target, ...]
    receive_bytes: int | None = None


# The readiness and metrics addresses share the code that receives requests
# with the front. The peers' address reads 36 bytes of an unauthenticated
# client, whatever they are. Each row is sent to all of them nevertheless, so
# that none depends on how they are built.
ROWS = (
    Row('body-whole', (behaviours.whole_body,), _MANY, _EVERY),
    Row(
        'body-whole-short-of-end',
        (behaviours.whole_body_short_of_its_end,),
        _MANY,
        _ALL,
    ),
    Row('body-pieces', (behaviours.body_in_pieces,), _MANY, _EVERY),
    Row(
        'body-pieces-short-of-end',
        (behaviours.body_in_pieces_short_of_its_end,),
        _MANY,
        _EVERY,
    ),
    Row('body-chunked', (behaviours.body_in_chunks,), _MANY, _EVERY),
    Row(
        'body-chunked-short-of-end',
        (behaviours.body_in_chunks_short_of_its_end,),
        _MANY,
        _EVERY,
    ),
    Row('oversized-length', (behaviours.oversized_body,), _MANY, _EVERY),
    Row(
        'oversized-length-expect',
        (behaviours.oversized_body_expecting,),
        _MANY,
        _EVERY,
    ),
    Row('oversized-chunked', (behaviours.oversized_chunks,), _MANY, _EVERY),
    Row(
        'oversized-chunked-expect',
        (behaviours.oversized_chunks_expecting,),
        _MANY,
        _EVERY,
    ),
    Row('short-fields', (behaviours.short_fields,), _MANY, _EVERY),
    Row(
        'short-fields-short-of-end',
        (behaviours.short_fields_short_of_their_end,),
        _MANY,
        _EVERY,
    ),
    Row(
        'short-fields-unfinished-body',
        (behaviours.short_fields_and_unfinished_body,),
        _MANY,
        _EVERY,
    ),
    Row(
        'one-byte-chunks',
        (behaviours.one_byte_chunks,),
        _FEW,
        _EVERY,
    ),
    Row(
        'chunk-extension',
        (behaviours.long_chunk_extension,),
        _MANY,
        _EVERY,
    ),
    Row(
        'chunks-with-extensions',
        (behaviours.chunks_with_long_extensions,),
        _MANY,
        _EVERY,
    ),
    Row(
        'one-byte-chunks-whole',
        (behaviours.one_byte_chunks_whole,),
        _FEW,
        _EVERY,
    ),
    Row('trailers', (behaviours.trailers,), _FEW, _EVERY),
    Row(
        'trailers-short-of-end',
        (behaviours.trailers_short_of_their_end,),
        _MANY,
        _EVERY,
    ),
    Row(
        'pipelined',
        (behaviours.pipelined,),
        _FEW,
        (*_EVERY, _LARGE),
        _RECEIVE_BYTES,
    ),
    Row(
        'pipelined-bodies',
        (behaviours.pipelined_with_bodies,),
        _FEW,
        _EVERY,
        _RECEIVE_BYTES,
    ),
    Row('slow-head', (behaviours.slow_head,), _MORE_THAN_DESCRIPTORS, _ALL),
    Row(
        'slow-body',
        (behaviours.slow_body,),
        _MORE_THAN_DESCRIPTORS,
        _EVERY,
    ),
    Row(
        'slow-reader',
        (behaviours.slow_reader,),
        _MORE_THAN_DESCRIPTORS,
        (*_EVERY, _LARGE),
        _RECEIVE_BYTES,
    ),
    Row(
        'byte-a-second',
        (
            behaviours.byte_of_head_a_second,
            behaviours.byte_of_body_a_second,
            behaviours.byte_of_chunk_a_second,
            behaviours.byte_read_a_second,
        ),
        _MORE_THAN_DESCRIPTORS,
        (*_EVERY, _LARGE),
        _RECEIVE_BYTES,
    ),
    Row(
        'half-closed',
        (behaviours.half_closed, behaviours.half_closed_after_request),
        _MORE_THAN_DESCRIPTORS,
        _EVERY,
    ),
    Row('silent', (behaviours.silent,), _MORE_THAN_DESCRIPTORS, _ALL),
    Row(
        'reset',
        (behaviours.reset,),
        _MORE_THAN_DESCRIPTORS,
        _EVERY,
    ),
    Row(
        'reset-unread',
        (behaviours.reset_with_unread_responses,),
        _MORE_THAN_DESCRIPTORS,
        (*_EVERY, _LARGE),
        _RECEIVE_BYTES,
    ),
    Row(
        'endless-head',
        (behaviours.endless_head, behaviours.endless_line),
        _MORE_THAN_DESCRIPTORS,
        _EVERY,
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
    Row(
        'mix-with-ordinary',
        (
            behaviours.ordinary_repeated,
            behaviours.body_in_pieces,
            behaviours.body_in_chunks,
            behaviours.oversized_chunks_expecting,
            behaviours.one_byte_chunks,
            behaviours.chunks_with_long_extensions,
            behaviours.pipelined_with_bodies,
            behaviours.slow_body,
            behaviours.half_closed,
            behaviours.half_closed_after_request,
            behaviours.reset_with_unread_responses,
            behaviours.endless_line,
        ),
        _MORE_THAN_DESCRIPTORS,
        _EVERY,
    ),
)

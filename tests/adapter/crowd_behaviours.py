"""What the clients of a crowd do on their connections."""

from . import crowd_caller

__all__ = [
    'body_in_chunks',
    'body_in_chunks_short_of_its_end',
    'body_in_pieces',
    'body_in_pieces_short_of_its_end',
    'byte_of_body_a_second',
    'byte_of_chunk_a_second',
    'byte_of_head_a_second',
    'byte_read_a_second',
    'chunks_with_long_extensions',
    'endless_head',
    'endless_line',
    'half_closed',
    'half_closed_after_request',
    'long_chunk_extension',
    'one_byte_chunks',
    'one_byte_chunks_whole',
    'ordinary',
    'ordinary_repeated',
    'oversized_body',
    'oversized_body_expecting',
    'oversized_chunks',
    'oversized_chunks_expecting',
    'pipelined',
    'pipelined_with_bodies',
    'reset',
    'reset_with_unread_responses',
    'short_fields',
    'short_fields_and_unfinished_body',
    'short_fields_short_of_their_end',
    'silent',
    'slow_body',
    'slow_head',
    'slow_reader',
    'trailers',
    'trailers_short_of_their_end',
    'whole_body',
    'whole_body_short_of_its_end',
]

_PIECE_BYTES = 2_048
_CHUNK_BYTES = 8_192
_OVERSIZED_BYTES = 8 * crowd_caller.BODY_BYTES
_PIPELINED = 300

_BODY = bytes(crowd_caller.BODY_BYTES)
_CHUNKED = 'Transfer-Encoding: chunked'
_EXPECT = 'Expect: 100-continue'
# Slower than any progress that a host counts.
_SECOND_S = 1.0


def _length(count: int) -> str:
    return f'Content-Length: {count}'


_BODY_IN_CHUNKS = crowd_caller.chunks(_BODY, _CHUNK_BYTES)


def whole_body(caller: crowd_caller.Caller) -> None:
    head = crowd_caller.request_head(caller.path, _length(len(_BODY)))
    caller.send(head + _BODY)
    caller.hold()


def whole_body_short_of_its_end(caller: crowd_caller.Caller) -> None:
    head = crowd_caller.request_head(caller.path, _length(len(_BODY)))
    caller.send(head + _BODY[:-1])
    caller.hold()


def body_in_pieces(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _length(len(_BODY))))
    caller.send_pieces(_BODY, _PIECE_BYTES)
    caller.hold()


def body_in_pieces_short_of_its_end(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _length(len(_BODY))))
    caller.send_pieces(_BODY[:-1], _PIECE_BYTES)
    caller.hold()


def body_in_chunks(caller: crowd_caller.Caller) -> None:
    head = crowd_caller.request_head(caller.path, _CHUNKED)
    caller.send(head + _BODY_IN_CHUNKS + b'0\r\n\r\n')
    caller.hold()


def body_in_chunks_short_of_its_end(caller: crowd_caller.Caller) -> None:
    head = crowd_caller.request_head(caller.path, _CHUNKED)
    caller.send(head + _BODY_IN_CHUNKS + b'0\r\n')
    caller.hold()


def oversized_body(caller: crowd_caller.Caller) -> None:
    caller.send(
        crowd_caller.request_head(caller.path, _length(_OVERSIZED_BYTES))
    )
    for _ in range(_OVERSIZED_BYTES // len(_BODY)):
        caller.send(_BODY)
    caller.hold()


def oversized_body_expecting(caller: crowd_caller.Caller) -> None:
    """Send the body without waiting for the answer to the expectation."""
    caller.send(
        crowd_caller.request_head(
            caller.path, _length(_OVERSIZED_BYTES), _EXPECT
        )
    )
    for _ in range(_OVERSIZED_BYTES // len(_BODY)):
        caller.send(_BODY)
    caller.hold()


def oversized_chunks(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED))
    for _ in range(_OVERSIZED_BYTES // len(_BODY)):
        caller.send(_BODY_IN_CHUNKS)
    caller.hold()


def oversized_chunks_expecting(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED, _EXPECT))
    for _ in range(_OVERSIZED_BYTES // len(_BODY)):
        caller.send(_BODY_IN_CHUNKS)
    caller.hold()


def short_fields(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.short_fields_head(caller.path, method='GET'))
    caller.hold()


def short_fields_short_of_their_end(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.short_fields_head(caller.path, method='GET')[:-1])
    caller.hold()


def short_fields_and_unfinished_body(caller: crowd_caller.Caller) -> None:
    """Make the host hold the parsed fields until the body ends."""
    caller.send(crowd_caller.short_fields_head(caller.path, _length(2)) + b'x')
    caller.hold()


def one_byte_chunks(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED))
    caller.send(5_000 * b'1\r\nx\r\n')
    caller.hold()


def long_chunk_extension(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED))
    caller.send(b'1;' + (crowd_caller.BODY_BYTES - 4_096) * b'e')
    caller.hold()


def chunks_with_long_extensions(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED))
    caller.send(200 * (b'1;' + 4_096 * b'e' + b'\r\nx\r\n'))
    caller.hold()


def trailers(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED))
    caller.send(b'1\r\nx\r\n0\r\n' + 32_768 * b'a:\r\n' + b'\r\n')
    caller.hold()


def trailers_short_of_their_end(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED))
    caller.send(b'1\r\nx\r\n0\r\n' + 62_500 * b'a:\r\n')
    caller.hold()


def pipelined(caller: crowd_caller.Caller) -> None:
    caller.send(
        b''.join(
            crowd_caller.request_head(caller.path, method='GET', number=number)
            for number in range(_PIPELINED)
        )
    )
    caller.hold()


def pipelined_with_bodies(caller: crowd_caller.Caller) -> None:
    head = crowd_caller.request_head(caller.path, _length(len(_BODY)))
    for _ in range(_PIPELINED):
        caller.send(head + _BODY)
    caller.hold()


def slow_head(caller: crowd_caller.Caller) -> None:
    caller.send_slowly(crowd_caller.short_fields_head(caller.path))


def slow_body(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _length(len(_BODY))))
    caller.send_slowly(_BODY)


def slow_reader(caller: crowd_caller.Caller) -> None:
    caller.send(20 * crowd_caller.request_head(caller.path, method='GET'))
    caller.read_slowly()


def half_closed(caller: crowd_caller.Caller) -> None:
    head = crowd_caller.request_head(caller.path, _length(len(_BODY)))
    caller.send(head + _BODY[: len(_BODY) // 2])
    caller.end_sending()
    caller.hold()


def half_closed_after_request(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, method='GET'))
    caller.end_sending()
    caller.hold()


def silent(caller: crowd_caller.Caller) -> None:
    caller.hold()


def reset(caller: crowd_caller.Caller) -> None:
    head = crowd_caller.request_head(caller.path, _length(len(_BODY)))
    caller.send(head + _BODY[: len(_BODY) // 2])
    caller.reset()


def endless_head(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path)[:-2])
    for _ in range(1_000):
        caller.send(250 * b'a:b\r\n')
    caller.hold()


def endless_line(caller: crowd_caller.Caller) -> None:
    caller.send(b'GET /')
    for _ in range(1_000):
        caller.send(1_000 * b'x')
    caller.hold()


def ordinary(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, method='GET'))
    caller.hold()


def ordinary_repeated(caller: crowd_caller.Caller) -> None:
    """Send a request each second and read the answer to it."""
    caller.send_and_read(
        crowd_caller.request_head(caller.path, method='GET'), _SECOND_S
    )


def one_byte_chunks_whole(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED))
    caller.send(5_000 * b'1\r\nx\r\n' + b'0\r\n\r\n')
    caller.hold()


def byte_of_head_a_second(caller: crowd_caller.Caller) -> None:
    caller.send_slowly(crowd_caller.request_head(caller.path), _SECOND_S)


def byte_of_body_a_second(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _length(len(_BODY))))
    caller.send_slowly(_BODY, _SECOND_S)


def byte_of_chunk_a_second(caller: crowd_caller.Caller) -> None:
    caller.send(crowd_caller.request_head(caller.path, _CHUNKED))
    caller.send_slowly(_BODY_IN_CHUNKS, _SECOND_S)


def byte_read_a_second(caller: crowd_caller.Caller) -> None:
    caller.send(20 * crowd_caller.request_head(caller.path, method='GET'))
    caller.read_slowly(_SECOND_S)


def reset_with_unread_responses(caller: crowd_caller.Caller) -> None:
    caller.send(20 * crowd_caller.request_head(caller.path, method='GET'))
    caller.pause(crowd_caller.SLOW_INTERVAL_S)
    caller.reset()

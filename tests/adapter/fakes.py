"""Fakes of the platform's store and of searchers."""

import threading

from . import store_double

__all__ = ['Searcher', 'Store', 'reserved_port']

Store = store_double.Store
reserved_port = store_double.reserved_port


class Searcher(store_double.HttpDouble):
    """Responds with a response stamp, or 421 if it is not the target."""

    def __init__(self, name: str, body: bytes) -> None:
        self.name = name
        self.body = body
        self.status = 200
        # Cleared to keep requests running.
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.seen: list[dict[str, str]] = []
        # Sent with every response, whatever its status.
        self.headers: dict[str, str] = {}
        super().__init__()

    def answer(self, request: store_double.Handler) -> None:
        """Run a request for this searcher."""
        headers = {k.lower(): v for k, v in request.headers.items()}
        length = int(headers.get('content-length', 0))
        request.rfile.read(length)
        self.seen.append(headers)
        request_id = headers.get('x-request-id', '')
        if headers.get('x-target-instance') != self.name:
            request.send(
                421, headers={'X-Instance-Id': self.name, **self.headers}
            )
            return
        self.may_answer.wait()
        request.send(
            self.status,
            self.body,
            {
                'X-Request-Id': request_id,
                'X-Response-Stamp': f'{self.name}.{request_id}',
                **self.headers,
            },
        )

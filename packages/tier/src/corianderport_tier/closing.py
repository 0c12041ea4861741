"""corianderport_tier.closing

Base of the classes that are closed at the end of a context.
"""

import types
import typing

__all__ = ['Closing']


class Closing:
    """A context manager; a subclass overrides ``close``."""

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Release what is held."""
        raise NotImplementedError

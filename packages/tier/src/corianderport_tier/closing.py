"""corianderport_tier.closing

Base class of resources that a ``with`` statement closes.
"""

import types
import typing

__all__ = ['Closing']


class Closing:
    """Context manager that calls ``close`` on exit.

    Subclasses override ``close``.
    """

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
        """Release the resources."""
        raise NotImplementedError

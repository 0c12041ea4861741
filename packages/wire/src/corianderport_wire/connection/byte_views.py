"""corianderport_wire.connection.byte_views

Parts of a message that is sent without copying it.
"""

__all__ = ['after']


def after(views: list[memoryview], count: int) -> list[memoryview]:
    """Return the views without their first bytes."""
    rest = []
    for view in views:
        skipped = min(count, len(view))
        count -= skipped
        if skipped < len(view):
            rest.append(view[skipped:])
    return rest

"""corianderport_tier.request.authorization

Decides by its key whether a request may be sent to searchers.
"""

import collections.abc

import attrs

from corianderport_tier import errors
from corianderport_tier.process import directory
from corianderport_tier.process import store_freshness
from corianderport_tier.request import forward_messages
from corianderport_tier.version import routes
from corianderport_tier.version import workspaces as workspaces_module

__all__ = ['Authorization', 'Authorizer']

_Confirm = collections.abc.Callable[
    [str | None], workspaces_module.Workspace | None
]


class Authorizer:
    """Authorizes requests with the newest keys that this host knows."""

    def __init__(
        self,
        searcher_directory: directory.Directory,
        freshness: store_freshness.StoreFreshness,
    ) -> None:
        self._directory = searcher_directory
        self._freshness = freshness

    def admit(
        self, route: routes.Route, credential: str | None
    ) -> 'Authorization':
        """Authorize a request when it arrives.

        :param credential: the key of the request, None without a valid one.
        :raises Unauthenticated: the route needs a key that is known.
        :raises KeyUnconfirmed: the key cannot be confirmed at present.
        """
        return self._admit(route, credential, self.confirm)

    def preview(
        self, route: routes.Route, credential: str | None
    ) -> 'Authorization':
        """Return or raise what ``admit`` would; change and log nothing."""
        return self._admit(route, credential, self._find)

    def _admit(
        self, route: routes.Route, credential: str | None, confirm: _Confirm
    ) -> 'Authorization':
        if self._directory.workspaces is None:
            return Authorization(self, None, None, credential)
        try:
            workspace: workspaces_module.Workspace | None
            workspace = confirm(credential)
        except (errors.Unauthenticated, errors.KeyUnconfirmed):
            if not route.public:
                raise
            workspace = None
        identity = forward_messages.CallerIdentity(
            None if workspace is None else workspace.name
        )
        return Authorization(self, identity, workspace, credential)

    def confirm(
        self, credential: str | None
    ) -> workspaces_module.Workspace | None:
        """Return the workspace of a key; None if no key is needed.

        :raises Unauthenticated: the key is missing or unknown.
        :raises KeyUnconfirmed: the knowledge of the store is too old.
        """
        try:
            return self._find(credential)
        except errors.KeyUnconfirmed:
            self._freshness.observe()
            raise

    def _find(
        self, credential: str | None
    ) -> workspaces_module.Workspace | None:
        # The age is read first: it then holds for the keys that are read
        # after it, also if this process is suspended in between.
        fresh = self._freshness.fresh
        workspaces = self._directory.workspaces
        if workspaces is None:
            return None
        if credential is None:
            raise errors.Unauthenticated('the request has no valid key')
        if not fresh:
            raise errors.KeyUnconfirmed(
                'the knowledge of the store is too old to confirm a key'
            )
        workspace = workspaces.find(credential)
        if workspace is None:
            raise errors.Unauthenticated('the key is unknown')
        return workspace

    @property
    def needs_keys(self) -> bool:
        """Whether the newest version known has workspaces."""
        return self._directory.workspaces is not None


@attrs.frozen
class Authorization:
    """What one request was authorized for when it arrived.

    ``identity`` is None in a deployment without workspaces. ``workspace`` is
    None if the request is served without a key.
    """

    _authorizer: Authorizer = attrs.field(repr=False)
    identity: forward_messages.CallerIdentity | None
    workspace: workspaces_module.Workspace | None
    _credential: str | None = attrs.field(repr=False)

    @property
    def workspace_name(self) -> str | None:
        """Name of the workspace, None without one."""
        return None if self.workspace is None else self.workspace.name

    def rank(self, route: routes.Route) -> int:
        """Return the priority of the request, 0 being the highest."""
        return route.rank if self.workspace is None else self.workspace.rank

    def check(self) -> None:
        """Check that the request may still be sent.

        Called at the moment of each send, which may be long after the
        request arrived.

        :raises Unauthenticated: the key was taken away.
        :raises KeyUnconfirmed: the knowledge of the store is too old, or the
            key has been given to another workspace.
        """
        if self.identity is None:
            if self._authorizer.needs_keys:
                # The headers of this request would pass on the key.
                raise errors.KeyUnconfirmed('keys are needed since a moment')
            return
        if self.workspace is None:
            return
        workspace = self._authorizer.confirm(self._credential)
        if workspace is not None and workspace.name != self.workspace.name:
            raise errors.KeyUnconfirmed('the key has changed its workspace')

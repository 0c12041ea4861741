"""corianderport_tier.process.quota_outlook

What the quota of a workspace would decide about one more request.
"""

import attrs

from corianderport_tier.process import quota_account
from corianderport_tier.version import workspaces

__all__ = ['QuotaOutlook', 'outlook']


@attrs.frozen
class QuotaOutlook:
    """What this host would decide now.

    ``tokens`` are those that it holds. ``refusal`` says why the request would
    be refused; it is empty if the request would be admitted, or if the owners
    of the quota would be asked because this host holds no token.
    """

    rate_per_s: float
    burst: float
    tokens: int
    refusal: str = ''


def outlook(
    account: quota_account.QuotaAccount | None,
    workspace: workspaces.Workspace,
    now_s: float,
) -> QuotaOutlook:
    """Return what would be decided; change nothing.

    :param account: None if no request of the workspace has come recently.
    """
    tokens, refusal = 0, ''
    if account is not None:
        with account.condition:
            tokens = account.held(now_s)
            if tokens:
                pass
            elif account.refused_until_s > now_s:
                after_s = account.refused_until_s - now_s
                refusal = f'the quota is used up for {after_s:.3f} s'
            elif account.unreachable_until_s > now_s:
                refusal = 'no owner of the quota replied just now'
    return QuotaOutlook(workspace.rate_per_s, workspace.burst, tokens, refusal)

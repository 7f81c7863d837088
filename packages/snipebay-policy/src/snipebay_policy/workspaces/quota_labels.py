"""Labels of workspaces in metrics, of which there is a bounded number."""

import collections

__all__ = ["credit_by_label"]

# Workspaces with a label of their own, and the label of all others.
MAX_LABELS = 32
OTHERS_LABEL = "others"


def credit_by_label(accounts, workspaces, now_s):
    """Return the credit that an instance holds, by label.

    The workspaces with the largest limits have labels of their own.

    Args:
        accounts: :class:`QuotaAccount` by name of the workspace.
        workspaces: The :class:`Workspace` rows of the plan.
        now_s: Time.
    """
    ranked = sorted(workspaces, key=lambda w: (-w.rate_per_s, w.name))
    labels = {workspace.name for workspace in ranked[:MAX_LABELS]}
    found = collections.Counter()
    for name, account in accounts.items():
        account.bucket.update(now_s)
        found[name if name in labels else OTHERS_LABEL] += account.bucket.credit
    return found

"""Earlier versions of the traffic plan, from which patches for instances are made."""

import itertools

import attrs
from snipebay_model.plan_patch import PlanPatch

__all__ = ["PlanHistory"]

# Plans kept, which share their unchanged routes. Instances in touch lack a few changes;
# one that lacks more gets the whole plan.
MAX_PLANS = 32


@attrs.define
class PlanHistory:
    """The newest replaced plans, by the revision that replaced them."""

    _replaced: dict = attrs.Factory(dict)
    _patches: dict = attrs.Factory(dict)

    def record(self, revision, old):
        """Record that a plan, or None, was replaced at a revision."""
        self._replaced[revision] = old
        if len(self._replaced) > MAX_PLANS:
            oldest = next(iter(self._replaced))
            del self._replaced[oldest]
            self._patches.pop(oldest, None)

    @property
    def has_workspaces(self):
        """True if any of the replaced plans that are kept has workspaces."""
        return any(old and old.workspaces for old in self._replaced.values())

    def patches(self, revisions, plan):
        """Return the patches made at some revisions, oldest first.

        A receiver may have got a later view than the one that it reported, so each
        change has its own patch and the receiver skips those that it has.

        Args:
            revisions: All revisions of the plan after that of the receiver's view.
            plan: The current plan.

        Returns:
            None if a replaced plan is not known any more, or if the patches name more
            than the plan has.
        """
        replaced = [self._replaced.get(revision) for revision in revisions]
        if None in replaced:
            return None
        pairs = itertools.pairwise((*replaced, plan))
        patches = tuple(
            self._patch(revision, *pair)
            for revision, pair in zip(revisions, pairs, strict=True)
        )
        is_shorter = sum(p.size for p in patches) < len(plan.routes)
        return patches if is_shorter else None

    def _patch(self, revision, old, new):
        if revision not in self._patches:
            self._patches[revision] = PlanPatch.from_plans(old, new)
        return self._patches[revision]

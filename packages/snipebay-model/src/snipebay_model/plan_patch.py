"""Differences between two versions of the traffic plan.

A plan may have thousands of routes, while a change by an operator concerns a few of
them and is sent to hundreds of entry instances.
"""

import attrs

from snipebay_model.plan import Plan, RequestLimits, Route, RoutedService
from snipebay_model.workspace import Workspace

__all__ = ["PlanPatch"]


@attrs.frozen
class PlanPatch:
    """Turns the plan of one version into that of another, without their documents.

    Attributes:
        base_version: Version of the plan that it applies to.
        version: Version of the resulting plan.
        limits: Limits of the resulting plan.
        routes: Routes added or changed.
        removed_routes: Names of the routes removed.
        services: Services added or changed.
        removed_services: Names of the services removed.
        workspaces: Workspaces added or changed.
        removed_workspaces: Names of the workspaces removed.
    """

    base_version: int
    version: int
    limits: RequestLimits
    routes: tuple[Route, ...] = ()
    removed_routes: tuple[str, ...] = ()
    services: tuple[RoutedService, ...] = ()
    removed_services: tuple[str, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    removed_workspaces: tuple[str, ...] = ()

    @classmethod
    def from_plans(cls, old, new):
        """Return the patch that turns one plan into another."""
        routes, removed_routes = _changes(old.routes, new.routes)
        services, removed_services = _changes(old.services, new.services)
        return cls(
            old.version,
            new.version,
            new.limits,
            routes,
            removed_routes,
            services,
            removed_services,
            *_changes(old.workspaces, new.workspaces),
        )

    @property
    def size(self):
        """Number of routes, services and workspaces that it names."""
        return (
            len(self.routes)
            + len(self.removed_routes)
            + len(self.services)
            + len(self.removed_services)
            + len(self.workspaces)
            + len(self.removed_workspaces)
        )

    def apply(self, plan):
        """Return the resulting plan, without a document.

        Routes and services keep their order, and added ones follow. Their order has
        no effect on requests.

        Raises:
            ValueError: If the plan has another version than the patch applies to.
        """
        if plan is None or plan.version != self.base_version:
            found = "no plan" if plan is None else f"version {plan.version!r}"
            raise ValueError(
                f"patch of version {self.base_version!r} does not apply to {found}"
            )
        return Plan(
            self.version,
            _patched(plan.routes, self.routes, self.removed_routes),
            _patched(plan.services, self.services, self.removed_services),
            self.limits,
            workspaces=_patched(
                plan.workspaces, self.workspaces, self.removed_workspaces
            ),
        )


def _changes(old, new):
    """Return the items added or changed, and the names of those removed."""
    old_by_name = {item.name: item for item in old}
    changed = tuple(item for item in new if old_by_name.get(item.name) != item)
    gone = old_by_name.keys() - {item.name for item in new}
    return changed, tuple(sorted(gone))


def _patched(items, changed, gone):
    by_name = {item.name: item for item in items}
    by_name.update({item.name: item for item in changed})
    for name in gone:
        by_name.pop(name, None)
    return tuple(by_name.values())

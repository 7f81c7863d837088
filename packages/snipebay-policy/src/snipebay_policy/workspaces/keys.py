"""Finds the workspace of a request by its key."""

from snipebay_model.workspace import key_digest

__all__ = ["WorkspaceTable", "allowed_regions"]

_NO_REGIONS = ("",)


class WorkspaceTable:
    """Workspaces of one plan by the digests of their keys.

    Args:
        workspaces: The :class:`Workspace` rows of the plan.
    """

    def __init__(self, workspaces=()):
        self.by_name = {workspace.name: workspace for workspace in workspaces}
        self._by_digest = {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        }

    def __bool__(self):
        return bool(self.by_name)

    def find(self, key):
        """Return the :class:`Workspace` that has a key, or None.

        Args:
            key: The key as bytes.
        """
        return self._by_digest.get(key_digest(key)) if key else None


def allowed_regions(route, workspace):
    """Return the regions that may serve a request, empty for all.

    Where the route and the workspace both name regions, both bind. If they have none in
    common, the result names no existing region.
    """
    regions = workspace.allowed_regions if workspace is not None else ()
    if not (route.allowed_regions and regions):
        return route.allowed_regions or regions
    return tuple(r for r in route.allowed_regions if r in regions) or _NO_REGIONS

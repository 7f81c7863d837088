"""Sources of an older commit of this repository, to run beside the present ones."""

import os
import pathlib
import subprocess
import tarfile

import attrs

__all__ = [
    "BASELESS_COMMIT",
    "KEYLESS_COMMIT",
    "LANDED_COMMIT",
    "NAMELESS_COMMIT",
    "Build",
    "BuildError",
]

ROOT = pathlib.Path(__file__).parents[4]
# The build that was landed before commands had a base and snapshots withdrawals.
BASELESS_COMMIT = "6018973"
LANDED_COMMIT = "8f3b9b4"
# The build that was landed last, before plans had workspaces.
KEYLESS_COMMIT = "37ed2d4"
# The build that was landed before withdrawals named their incarnation.
NAMELESS_COMMIT = "7ae4d88"
PACKAGES = ("model", "policy", "control", "node", "testbed")


class BuildError(Exception):
    """The sources of a commit are not in this checkout."""


@attrs.frozen
class Build:
    """A tree of sources.

    Attributes:
        root: Its root folder.
    """

    root: pathlib.Path = ROOT

    @classmethod
    def from_commit(cls, commit, folder):
        """Return the build of a commit, with its sources in a new folder.

        Raises:
            BuildError: If the commit is not in this checkout.
        """
        archive = pathlib.Path(folder) / f"{commit}.tar"
        command = ["git", "archive", "-o", archive, commit, "packages", "platform"]
        found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        if found.returncode:
            raise BuildError(f"no sources of commit {commit!r}: {found.stderr.strip()}")
        root = archive.with_suffix("")
        with tarfile.open(archive) as tar:
            tar.extractall(root, filter="data")
        return cls(root)

    @property
    def environment(self):
        """Environment variables with which a process imports these sources."""
        sources = [
            str(self.root / "packages" / f"snipebay-{name}" / "src")
            for name in PACKAGES
        ]
        # They come before the packages that are installed from the present tree.
        return {**os.environ, "PYTHONPATH": os.pathsep.join(sources)}

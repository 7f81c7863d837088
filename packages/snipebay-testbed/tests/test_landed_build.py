"""Tests that this build and the landed one read each other's data."""

import os
import pathlib
import subprocess
import sys
import tarfile
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[3]
CHILD = pathlib.Path(__file__).with_name("landed_build.py")
# The build that was landed before commands had a base and snapshots withdrawals.
LANDED_COMMIT = "6018973"
PACKAGES = ("model", "policy", "control")


class TestLandedBuild(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        archive = cls.folder / "landed.tar"
        found = subprocess.run(
            ["git", "archive", "-o", archive, LANDED_COMMIT, "packages"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        if found.returncode:
            reason = f"no sources of commit {LANDED_COMMIT}: {found.stderr.strip()}"
            print(f"skipped: {reason}", file=sys.stderr)
            raise unittest.SkipTest(reason)
        with tarfile.open(archive) as tar:
            tar.extractall(cls.folder / "landed", filter="data")
        cls.roots = {"landed": cls.folder / "landed", "present": ROOT}

    def run_build(self, build, *arguments):
        """Run the child process with the sources of a build and return its output."""
        sources = [
            str(self.roots[build] / "packages" / f"snipebay-{name}" / "src")
            for name in PACKAGES
        ]
        # The sources come before the packages that are installed from this tree.
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(sources)}
        command = [sys.executable, str(CHILD), *arguments]
        return subprocess.run(command, env=env, check=True, capture_output=True).stdout

    def exchange(self, writer, writes, reader, reads):
        """Return what one build reads of what another one writes."""
        path = self.folder / f"{writer}-{writes}"
        path.write_bytes(self.run_build(writer, writes))
        return self.run_build(reader, reads, str(path)).decode().split("\n")[0]

    def test_builds_differ(self):
        path = self.folder / "own"
        path.write_bytes(self.run_build("landed", "request"))
        self.assertEqual(
            self.run_build("landed", "read", str(path)), b"3 Evacuate None\n"
        )

    def test_snapshots(self):
        expected = "['a-1', 'a-2'] ['i-2'] ['i-1']"
        for writer, reader in (("landed", "present"), ("present", "landed")):
            with self.subTest(writer=writer, reader=reader):
                found = self.exchange(writer, "dump", reader, "load")
                self.assertEqual(found, expected)

    def test_commands(self):
        found = self.exchange("landed", "request", "present", "read")
        self.assertEqual(found, "3 Evacuate -1")
        found = self.exchange("present", "request", "landed", "read")
        self.assertEqual(found, "3 Evacuate None")


if __name__ == "__main__":
    unittest.main()

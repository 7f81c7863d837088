"""Tests that this build and the landed one read each other's data."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from snipebay_testbed.older_build import LANDED_COMMIT, Build, BuildError

CHILD = pathlib.Path(__file__).with_name("landed_build.py")


class TestLandedBuild(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        try:
            landed = Build.from_commit(LANDED_COMMIT, cls.folder)
        except BuildError as exc:
            print(f"skipped: {exc}", file=sys.stderr)
            raise unittest.SkipTest(str(exc)) from exc
        cls.builds = {"landed": landed, "present": Build()}

    def run_build(self, build, *arguments):
        """Run the child process with the sources of a build and return its output."""
        command = [sys.executable, str(CHILD), *arguments]
        env = self.builds[build].environment
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

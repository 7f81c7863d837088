"""Tests that this build and landed ones read each other's data."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from snipebay_testbed.older_build import (
    BASELESS_COMMIT,
    KEYLESS_COMMIT,
    LANDED_COMMIT,
    NAMELESS_COMMIT,
    Build,
    BuildError,
)

CHILD = pathlib.Path(__file__).with_name("landed_build.py")


class LandedBuildCase:
    """Exchanges data with the build of a commit, both ways."""

    commit = ""
    # What it reads as the base of a command, and what this build reads in its own.
    reads_base = None
    writes_base = None

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        try:
            landed = Build.from_commit(cls.commit, cls.folder)
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

    def test_snapshots(self):
        expected = "['a-1', 'a-2'] ['i-2'] ['i-1']"
        for writer, reader in (("landed", "present"), ("present", "landed")):
            with self.subTest(writer=writer, reader=reader):
                found = self.exchange(writer, "dump", reader, "load")
                self.assertEqual(found, expected)

    def test_commands(self):
        found = self.exchange("landed", "request", "present", "read")
        self.assertEqual(found, f"3 Evacuate {self.writes_base}")
        found = self.exchange("present", "request", "landed", "read")
        self.assertEqual(found, f"3 Evacuate {self.reads_base}")


class TestBaselessBuild(LandedBuildCase, unittest.TestCase):
    commit = BASELESS_COMMIT
    writes_base = -1

    def test_builds_differ(self):
        path = self.folder / "own"
        path.write_bytes(self.run_build("landed", "request"))
        self.assertEqual(
            self.run_build("landed", "read", str(path)), b"3 Evacuate None\n"
        )


class TestLandedBuild(LandedBuildCase, unittest.TestCase):
    commit = LANDED_COMMIT
    reads_base = writes_base = 7


class TestNamelessBuild(LandedBuildCase, unittest.TestCase):
    """A build whose withdrawals don't name the incarnation of the backend server."""

    commit = NAMELESS_COMMIT
    reads_base = writes_base = 7

    def test_withdrawals(self):
        for writer, reader in (("landed", "present"), ("present", "landed")):
            with self.subTest(writer=writer, reader=reader):
                found = self.exchange(writer, "withdrawal", reader, "withdraw")
                self.assertEqual(found, "7 [] ['i-2'] ['i-1']")

    def test_late_withdrawal_on_the_snapshot_of_the_other_build(self):
        """Guards against a restarted backend server that is removed in an update."""
        found = self.exchange("landed", "dump", "present", "withdraw-late")
        self.assertEqual(found, "outdated ['i-2']")
        # The landed build doesn't compare incarnations.
        found = self.exchange("present", "dump", "landed", "withdraw-late")
        self.assertEqual(found, "ok []")

    def test_entry_instances_follow_the_leader_of_the_other_build(self):
        """Guards against a new leader that instances of the other build don't ask."""
        for writer, writes, reader in (
            ("landed", "reply", "present"),
            ("present", "reply", "landed"),
            ("present", "announcement", "landed"),
            ("present", "announcement", "present"),
        ):
            with self.subTest(writer=writer, writes=writes, reader=reader):
                found = self.exchange(writer, writes, reader, "follow")
                self.assertEqual(found, "c2 c1")

    def test_landed_leader_does_not_announce_itself(self):
        found = self.exchange("landed", "announcement", "present", "follow")
        self.assertEqual(found, "c2 c2")

    def test_both_apply_the_same_log(self):
        """Guards against replicas that differ while builds run side by side."""
        path = self.folder / "log"
        path.write_bytes(self.run_build("present", "log"))
        found = {self.run_build(name, "replay", str(path)) for name in self.builds}
        self.assertEqual(len(found), 1)


class TestKeylessBuild(LandedBuildCase, unittest.TestCase):
    """A build without workspaces must not serve the routes of a plan with them."""

    commit = KEYLESS_COMMIT
    reads_base = writes_base = 7

    def both_ways(self, writes, reads):
        """Return what each build reads of what the other one writes."""
        return (
            self.exchange("landed", writes, "present", reads),
            self.exchange("present", writes, "landed", reads),
        )

    def test_plan_without_workspaces_is_exchanged(self):
        for writes, reads in (
            ("dump-plan", "load-plan"),
            ("plan-command", "apply"),
            ("plan-reply", "view"),
        ):
            with self.subTest(writes=writes):
                found = self.both_ways(writes, reads)
                self.assertEqual(found, ("version 1 routes 2 workspaces 0",) * 2)

    def test_plan_with_workspaces_is_hidden_in_snapshots(self):
        writes = "dump-workspace-plan"
        found = self.exchange("present", writes, "landed", "load-plan")
        self.assertEqual(found, "no plan")
        found = self.exchange("present", writes, "present", "load-plan")
        self.assertEqual(found, "version 2 routes 2 workspaces 1")

    def test_plan_with_workspaces_is_no_command_that_is_known(self):
        writes = "workspace-plan-command"
        found = self.exchange("present", writes, "landed", "apply")
        self.assertEqual(found, "unknown message kind 'ApplyWorkspacePlan'")
        found = self.exchange("present", writes, "present", "apply")
        self.assertEqual(found, "version 2 routes 2 workspaces 1")

    def test_plan_with_workspaces_reaches_instances_without_its_routes(self):
        writes = "workspace-plan-reply"
        found = self.exchange("present", writes, "landed", "view")
        self.assertEqual(found, "version 2 routes 0 workspaces 0")

    def test_only_the_present_build_says_that_it_reads_workspaces(self):
        found = self.both_ways("statements", "read-statements")
        self.assertEqual(found, ("False False", "None None"))
        found = self.exchange("present", "statements", "present", "read-statements")
        self.assertEqual(found, "True True")

    def test_messages_on_quotas_and_loads(self):
        """Guards against a message that an older build can't skip."""
        found = self.exchange("landed", "credits", "present", "read-credits")
        self.assertEqual(found, "Renew 0, RenewReply 0")
        found = self.exchange("present", "credits", "present", "read-credits")
        self.assertEqual(
            found, "Renew 1, RenewReply 1, CreditRequest 0, CreditReply 0, LoadNews 0"
        )
        found = self.exchange("present", "credits", "landed", "read-credits")
        unknown = (
            f"unknown message kind {kind!r}"
            for kind in ("CreditRequest", "CreditReply", "LoadNews")
        )
        self.assertEqual(found, ", ".join(("Renew 0", "RenewReply 0", *unknown)))


if __name__ == "__main__":
    unittest.main()

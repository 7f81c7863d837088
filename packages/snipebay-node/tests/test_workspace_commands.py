"""Tests of the commands for plans with workspaces."""

import unittest

from snipebay_model.messages import Outcome
from snipebay_model.plan import Plan
from snipebay_model.workspace import Workspace
from snipebay_node.control_client import ControlClient


class TestOlderLeader(unittest.TestCase):
    """An operator must not take an older leader for a fault of the document."""

    def test_older_leader_is_no_fault_of_the_document(self):
        client, found = ControlClient(("c1",), lambda: 0.0), []
        client.apply_plan(Plan(2, workspaces=(Workspace("w"),)), 1, "d", found.append)
        (action,) = client.pop_actions()
        self.assertEqual(action.body.kind, "ApplyWorkspacePlan")
        (finish,) = [p.callback for p in client.commands._pending.values()]
        unknown = "unknown message kind 'ApplyWorkspacePlan'"
        finish(Outcome("invalid", detail=unknown), 0.0)
        finish(Outcome("invalid", detail="routes.r: bad"), 0.0)
        self.assertEqual([outcome.code for outcome in found], ["busy", "invalid"])


if __name__ == "__main__":
    unittest.main()

"""Tests that the walks of the operations page say what the command says."""

import pathlib
import re
import unittest

from snipebay_cli.explain import explain_request

DOCS = pathlib.Path(__file__).parents[3] / "docs"
COMMAND = re.compile(r"`snipebay explain (\w+) docs/([\w.-]+)`:\n\n((?: {4}.+\n)+)")


class TestOperationsPage(unittest.TestCase):
    def test_recorded_requests_are_explained_as_written(self):
        walks = COMMAND.findall((DOCS / "OPERATIONS.md").read_text())
        self.assertEqual(len(walks), 3)
        for request, name, text in walks:
            with self.subTest(request=request):
                lines = (DOCS / name).read_text().splitlines()
                found = explain_request(request, lines)
                self.assertEqual(found.skipped, 0)
                self.assertEqual(" ".join(text.split()), f"{request}: {found.cause}")


if __name__ == "__main__":
    unittest.main()

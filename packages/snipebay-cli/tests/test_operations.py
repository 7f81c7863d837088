"""Tests that the examples in OPERATIONS.md show the output of the command."""

import pathlib
import re
import unittest

from snipebay_cli.explain import explain_request

DOCS = pathlib.Path(__file__).parents[3] / "docs"
EXAMPLE = re.compile(r"`snipebay explain (\w+) docs/([\w.-]+)`:\n\n((?: {4}.+\n)+)")


class TestOperationsPage(unittest.TestCase):
    def test_examples_show_the_explanation_of_the_recorded_requests(self):
        examples = EXAMPLE.findall((DOCS / "OPERATIONS.md").read_text())
        self.assertEqual(len(examples), 3)
        for request, log_name, text in examples:
            with self.subTest(request=request):
                lines = (DOCS / log_name).read_text().splitlines()
                found = explain_request(request, lines)
                self.assertEqual(found.skipped, 0)
                self.assertEqual(" ".join(text.split()), f"{request}: {found.cause}")


if __name__ == "__main__":
    unittest.main()

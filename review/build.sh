#!/usr/bin/env bash
# Checks the stand-ins of the review, which need the standard library alone: nothing of
# them has to be built. The programs under test are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
target=$(mktemp -d)
trap 'rm -rf "$target"' EXIT
PYTHONPYCACHEPREFIX=$target python3 -m compileall -q review
PYTHONPATH=review python3 -B -c '
import harness.clients, harness.deployment, harness.links, harness.operator
import harness.script, harness.upstreams'

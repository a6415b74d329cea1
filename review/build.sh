#!/bin/sh
# Builds the stand-ins of the cases: the project's own and those in review/lib.
# Run after deploy/build.sh, whose libraries they use; nothing is installed.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/lib
PYTHONPATH=target/deps:. python3 -c "import review.lib.platform_process"

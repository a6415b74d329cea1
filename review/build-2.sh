#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: the project's own and those in review/lib2.
# Run after deploy/build.sh, whose libraries they use; nothing is installed.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/lib2
PYTHONPATH=target/deps:. python3 -c "import review.lib2.server_process"
PYTHONPATH=target/deps:. python3 -c "import review.lib2.store_process"

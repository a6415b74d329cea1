#!/bin/sh
# Put the libraries that a node needs, and the product's own packages, into target/.
set -eu
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.txt
fi
rm -rf target/deps/auburnwall
mkdir -p target/deps/auburnwall
for package in packages/*/src/auburnwall platform/src/auburnwall; do
    cp -R "$package/." target/deps/auburnwall/
done
find target/deps/auburnwall -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/deps

#!/bin/sh
# Generate the inner protocol's code. Needs the thrift compiler, which neither the
# build nor the tests need, since the generated code is committed.
set -eu
wire=packages/auburnwall-wire/src/auburnwall/wire
out=$(mktemp -d)
thrift --gen py -out "$out" "$wire/peer.thrift"
rm -rf "$wire/peer"
mv "$out/auburnwall/wire/peer" "$wire/peer"
rm -f "$wire/peer/Peer-remote" "$wire/peer/Routed-remote"
rm -rf "$out"

#!/bin/sh
# Generate the code of the peer protocol. This needs the thrift compiler; the build and
# the tests do not, since the generated code is committed.
set -eu
wire=packages/auburnwall-wire/src/auburnwall/wire
out=$(mktemp -d)
thrift --gen py -out "$out" "$wire/peer.thrift"
rm -rf "$wire/peer"
mv "$out/auburnwall/wire/peer" "$wire/peer"
rm -f "$wire/peer/Peer-remote" "$wire/peer/Routed-remote"
rm -rf "$out"

#!/bin/sh
# Builds the stand-ins that the scripts of the review start. Their sources have another suffix, so
# that they are no part of the project's build, and are copied to a temporary folder for it.
set -eu
cd "$(dirname "$0")"
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
for f in rig/*.go.src; do
  cp "$f" "$tmp/$(basename "$f" .src)"
done
printf 'module rig\n\ngo 1.25\n' > "$tmp/go.mod"
mkdir -p bin
out=$PWD/bin/rig
(cd "$tmp" && GOFLAGS= GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -buildvcs=false -o "$out" .)

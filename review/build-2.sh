#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, after the build of the deploy
# file. The sources have the suffix .go.src, so that no tool of the project reads them.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for f in review/rig-2/*.go.src; do cp "$f" "$work/$(basename "${f%.src}")"; done
printf 'module rig\n\ngo 1.22\n' > "$work/go.mod"
mkdir -p target/review-2
out=$PWD/target/review-2/rig
(cd "$work" && GOFLAGS=-mod=mod GOWORK=off go build -o "$out" .)

#!/bin/sh
# Builds the stand-ins of the third review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig3 ./review/rig3

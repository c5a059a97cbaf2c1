#!/bin/sh
# Builds what the scripts of the review start besides the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig ./review/rig

#!/bin/sh
# Builds the stand-ins and clients of the cases 6 and later. They start the program that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/rig2 ./review/rig2

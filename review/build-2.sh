#!/bin/sh
# Builds the stand-ins, clients and judges that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/run2 ./review/run2

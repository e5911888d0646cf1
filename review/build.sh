#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -o review/bin/stand ./review/stand

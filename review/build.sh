#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The daemon is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/_bin/stand ./review/_stand

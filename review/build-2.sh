#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for d in review/_stand2/*/; do
	n=$(basename "$d")
	[ "$n" = lib ] || go build -o "target/review-2/$n" "./review/_stand2/$n"
done

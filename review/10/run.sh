#!/bin/sh
# Runs case 10 against the programs of the deploy file, after the build of that file and review/build-2.sh.
cd "$(dirname "$0")/../.." && exec target/review-2/release/review-case-2 10

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs nothing but a JDK. Case 9 starts one
# of the stand-ins of the earlier review.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2 target/review-2-earlier
mkdir -p target/review-2 target/review-2-earlier
find review/standins-2 -name '*.java' -print0 | xargs -0 javac --release 17 -d target/review-2
javac --release 17 -d target/review-2-earlier review/standins/*.java

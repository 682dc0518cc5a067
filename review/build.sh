#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" --release 17 -d target/review review/standins/*.java

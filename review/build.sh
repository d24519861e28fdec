#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with nothing but the JDK, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/*.java

#!/bin/sh
# Builds the stand-ins of the second review into target/review-2; the project itself is built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && javac --release 17 -d target/review-2 review/standins-2/*.java

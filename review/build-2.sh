#!/bin/sh
# Compiles the stand-ins and clients of the second review's cases; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java

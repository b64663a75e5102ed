#!/bin/sh
# Builds the stand-ins and the cases into review/build. Needs the JDK only; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -encoding UTF-8 -d build standins/*.java */*Case.java

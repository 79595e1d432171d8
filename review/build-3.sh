#!/bin/sh
# Builds the stand-ins and the cases of the third review into target/review-3 with the JDK alone, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/standins-3/*.java $(find review/1[1-5] -name '*.java')

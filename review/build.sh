#!/bin/sh
# Builds the stand-ins and the cases into target/review, after the build of the deploy file, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -proc:none -d target/review -cp "$(echo target/lib/jackson-*.jar | tr ' ' ':')" review/*.java review/[1-9]/*.java

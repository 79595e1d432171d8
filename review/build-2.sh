#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and following start. Needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2/classes
javac -d target/review-2/classes -cp 'target/lib/*' review/standins-2/*.java

#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx2g -cp target/review-3 EarlyRefusals review/12/record.txt

#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec timeout 115 java -Xmx512m -cp "target/review:$(echo target/lib/jackson-*.jar | tr ' ' ':')" review.TwoRunsInOneStream "review/3/record.txt"

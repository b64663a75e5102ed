#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$here/../.." && pwd)
export REVIEW_ROOT
unset JAVA_TOOL_OPTIONS
[ -f "$REVIEW_ROOT/target/maplerail.jar" ] && [ -d "$here/../build" ] || exit 2
exec java -Xmx512m -cp "$here/../build" UpgradeCase "$here"

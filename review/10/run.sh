#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/maplerail.jar ] || [ ! -f target/review-2/BadChunk.class ]; then
  echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh"
  exit 2
fi
java -XX:+UseSerialGC -Xmx256m -cp target/review-2 BadChunk review/10 &
child=$!
trap 'kill "$child" 2>/dev/null' HUP INT TERM # it ends what it started
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
  wait "$child"
  code=$?
done
case $code in
  40) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac

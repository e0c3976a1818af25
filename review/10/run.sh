#!/bin/sh
# Case 10. An inventory lists a draining server once more, its port written in another way.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/hopmoor-review-2
if [ ! -x "$program" ] || [ ! -x target/release/hopmoor ]; then
  echo "build first: the build of deploy/balancer.toml, and review/build-2.sh" >&2
  exit 2
fi
"$program" twin "$PWD" "$PWD/review/10"
code=$?
[ $code -le 2 ] || code=2
exit $code

#!/bin/sh
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] || { echo "run review/build.sh first"; exit 2; }
[ -x ../../target/release/hopmoor ] || { echo "run the build of deploy/balancer.toml first"; exit 2; }
exec ../bin/standin cut-answer .

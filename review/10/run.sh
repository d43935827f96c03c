#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/BadStatus.class ] || { echo "run review/build-2.sh first" >&2; exit 2; }
jdk="$(./launcher/find-jdk)" || exit 2
exec "$jdk/bin/java" -cp target/review-2 BadStatus 10

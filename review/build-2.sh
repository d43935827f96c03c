#!/usr/bin/env bash
# Compiles the stand-ins and cases of this review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
jdk="$(./launcher/find-jdk)"
mkdir -p target/review-2
"$jdk/bin/javac" -d target/review-2 review/kit-2/*.java

#!/usr/bin/env bash
# Compiles the stand-ins and the scripted cases into target/review.
set -eu
cd "$(dirname "$0")/.."
JDK="$(launcher/find-jdk)"
mkdir -p target/review
"$JDK/bin/javac" -d target/review -cp target/azureshed.jar review/standins/*.java

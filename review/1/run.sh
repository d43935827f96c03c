#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
folder=review/1
exec "$(launcher/find-jdk)/bin/java" -Xmx256m -cp target/review:target/azureshed.jar \
    LateRequestsOfAStoppingNode "$folder"

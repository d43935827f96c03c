#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
folder=review/2
exec "$(launcher/find-jdk)/bin/java" -Xmx256m -cp target/review:target/azureshed.jar \
    LateCheckInAfterARestart "$folder"

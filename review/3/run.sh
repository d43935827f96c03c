#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
folder=review/3
exec "$(launcher/find-jdk)/bin/java" -Xmx256m -cp target/review:target/azureshed.jar \
    DepartureAtANewProcess "$folder"

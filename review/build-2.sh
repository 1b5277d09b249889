#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -cp target/monsoonrelay-host.jar -d target/review-2 review/standin-2/second/*.java

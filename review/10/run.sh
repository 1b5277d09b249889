#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/monsoonrelay-host.jar ] && [ -f target/review-2/second/Withdrawn.class ] || exit 2
timeout 118 java -Djdk.httpclient.allowRestrictedHeaders=host \
	-cp target/review-2:target/monsoonrelay-host.jar second.Withdrawn review/10/record.txt
code=$?
[ $code -le 1 ] && grep -q ' result ' review/10/record.txt && exit $code
exit 2

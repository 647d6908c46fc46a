#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/endivecartd ] && [ -x target/review-2/case-10 ] || exit 2
exec timeout -k 1 118 target/review-2/case-10 "${TROUBLE:-1}" review/10/record.txt

#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
for program in target/review/harness target/release/agatemill-gateway; do
  [[ -x $program ]] || { echo "$program is not built"; exit 2; }
done
exec target/review/harness grey-server review/2/record.txt

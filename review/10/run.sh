#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
cd "$root" || exit 2
for program in target/trefoillined target/review-standin-2; do
	[ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-standin-2 target "$root" "$folder"

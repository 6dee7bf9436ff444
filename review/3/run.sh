#!/bin/bash
# Plays the case, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
timeout -k 3 116 "$root/review/bin/rig" build "$folder" "$root"
result=$?
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac

#!/usr/bin/env bash
# Runs three orders of events; exits with 1 if one of them broke the rule, 0 if it held in all, and 2 if they could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pomelo ] && [ -x target/review-standin ] || exit 2
record=review/4/record.txt
result=0
: > "$record"
for order in leave_before_kill leave_after_kill leave_before_return; do
  target/review-standin "$order" "$record.part"
  code=$?
  printf -- '-- %s\n' "$order" >> "$record"
  cat "$record.part" >> "$record"
  rm -f "$record.part"
  case $code in
    1) result=1 ;;
    0) ;;
    *) [ "$result" = 1 ] || result=2 ;;
  esac
done
exit "$result"

#!/usr/bin/env bash
# Run the script of a case five times, and once without its disruption.
cd "$(dirname "$0")/$1" || exit 2
for _ in 1 2 3 4 5; do
  ./run.sh; echo "exit $?"
done
cp record.txt record-trouble.txt
TROUBLE=0 ./run.sh; echo "without the disruption: exit $?"
mv record-trouble.txt record.txt

#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2, with the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -pthread -Ireview/standins-2)
g++ "${flags[@]}" -c review/standins-2/standins.cpp -o target/review-2/standins.o
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    case $number in 6 | 7 | 8 | 9 | 10) ;; *) continue ;; esac
    g++ "${flags[@]}" "$source" target/review-2/standins.o -o "target/review-2/case-$number"
done

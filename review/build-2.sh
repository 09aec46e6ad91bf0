#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10, and of the findings without a case, into target/review-2, with
# the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins-2)
g++ "${flags[@]}" -c review/standins-2/standins.cpp -o target/review-2/standins.o
for number in 6 7 8 9 10; do
    g++ "${flags[@]}" "review/$number/case.cpp" target/review-2/standins.o -o "target/review-2/case-$number"
done
for source in review/findings-2/*.cpp; do
    g++ "${flags[@]}" "$source" target/review-2/standins.o -o "target/review-2/$(basename "$source" .cpp)"
done

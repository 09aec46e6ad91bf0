#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review. Needs what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" "$source"
done

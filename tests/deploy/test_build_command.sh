#!/usr/bin/env bash
# Runs the build command of deploy/system.toml in a small project of the same layout, whose target/ was carried over from
# another commit or machine: the program has to be that of the sources that are there now.
set -euo pipefail
repository=$(cd "$(dirname "$0")/../.." && pwd)
command=$(sed -nE 's/^build = "(.*)"$/\1/p' "$repository/deploy/system.toml")
[ -n "$command" ] || { echo "deploy/system.toml has no build command" >&2; exit 1; }
project=$(mktemp -d)
trap 'rm -rf "$project"' EXIT
cd "$project"
export CCACHE_DIR="$project/ccache"
failures=0

cat > CMakeLists.txt <<'END'
cmake_minimum_required(VERSION 3.25)
project(small LANGUAGES CXX)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
find_program(CCACHE ccache)
if(CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()
add_subdirectory(src)
END
mkdir src
cat > src/CMakeLists.txt <<'END'
add_library(part STATIC part.cpp)
add_executable(radishstep-gateway main.cpp)
target_link_libraries(radishstep-gateway PRIVATE part)
END
printf '#include <cstdio>\nconst char* answer();\nint main() { std::puts(answer()); }\n' > src/main.cpp

# Writes the source whose contents the program prints, with a time of change.
write_source() {
    printf 'const char* answer() { return "%s"; }\n' "$1" > src/part.cpp
    touch -d "$2" src/part.cpp
}

run_build() { bash -c "$command" > build.log 2>&1 || { cat build.log; return 1; }; }

# Builds and checks what the program prints.
check() {
    local case=$1 expected=$2 printed
    printed=$(run_build && target/radishstep-gateway) || true
    [ "$printed" = "$expected" ] && return
    echo "$case: the program prints '$expected' if it is of the sources; the build and it printed:"
    echo "$printed" | tail -3
    failures=$((failures + 1))
}

# Leaves target/ as the build of an earlier commit does.
carry_over() {
    rm -rf target
    write_source first "2 days ago"
    run_build
}

carry_over
check "unchanged sources" first

# Failure: sources of another commit that are older than the objects were not compiled.
write_source second "1 day ago"
check "sources older than the carried-over objects" second

# Failure: flags and options of another build stayed in the carried-over cache.
carry_over
cmake -S . -B target/build "-DCMAKE_CXX_FLAGS=-Dputs=perror" > /dev/null
check "flags of another build" first

# Failure: objects of another kind of machine were linked.
carry_over
find target -name '*.o' | while read -r object; do
    touch -r "$object" time
    echo "of another machine" > "$object"
    touch -r time "$object"
done
find target -name '*.a' -delete -o -name radishstep-gateway -delete
check "objects of another machine" first

rm -rf target
cmake -S . -B target/build -G "Unix Makefiles" > /dev/null
check "another generator" first

carry_over
# The last program must not stand in for one that cannot be built.
echo "not C++" > src/part.cpp
if run_build > /dev/null; then
    echo "a failed build is reported as done"
    failures=$((failures + 1))
fi
[ "$failures" -eq 0 ] && echo "deploy build: all cases hold"
exit "$((failures > 0))"

#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, each one program, into build/review-2. To be run after the build of the
# deploy file. Needs only the compiler and the C++ library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/6/test.cc review/7/test.cc review/8/test.cc review/9/test.cc review/10/test.cc; do
  [ -f "$source" ] || continue
  case=$(basename "$(dirname "$source")")
  echo "case $case"
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "build/review-2/case-$case" "$source"
done

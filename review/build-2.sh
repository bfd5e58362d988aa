#!/bin/bash
# Builds the programs of the second review's scripts, with the stand-ins that
# they share, into target/review-2/. The build of deploy/system.toml comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/*.c; do
	[ -e "$source" ] || continue
	gcc -std=gnu11 -O1 -Wall -Wextra -I review/common-2 \
		-o "target/review-2/$(basename "$source" .c)" "$source" \
		review/common-2/{http,store,fleet,entries,world}.c \
		-ljansson -lpthread
done

#!/usr/bin/env bash
# The check of the outer names must be able to fail: test-outer-names.sh CHECK ROOT
set -u
check=$1
root=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# expect STATUS WORDS WHAT: the check of the planted tree ends so, and says so.
expect() {
  out=$("$check" "$dir" 2>&1)
  status=$?
  if [ "$status" -ne "$1" ] || ! grep -qF -- "$2" <<<"$out"; then
    printf 'status %s, not %s with "%s", for: %s\n%s\n' "$status" "$1" "$2" "$3" "$out"
    failed=1
  fi
}

plant() {
  rm -rf "${dir:?}"/*
  mkdir -p "$dir/src/peers" "$dir/src/base" "$dir/tests" "$dir/deploy"
  printf 'message Hello {\n  uint64 lease_id = 2; // not_a_field\n}\n' >"$dir/src/peers/peers.proto"
  printf 'build = "make"\n# gone = 1\n' >"$dir/deploy/service.toml"
  printf '<!-- not-here -->\n<groups>2</groups>\n' >"$dir/deploy/sharing.xml"
  # shellcheck disable=SC2016
  printf '#include "included"\n#define KEY "nameId" /* "commented" */\n#define SHORT "c"\nlog("reason=silent at 5 s");\n' \
    >"$dir/src/base/wire.h"
  printf '%s\n' nameId c silent lease_id >"$dir/tests/outer-names.txt"
  printf '%s\n' Hello build groups >"$dir/tests/outer-names-other.txt"
}

plant
expect 0 '0 outer names are missing' 'all names stand in the tree'
for name in job-name included commented at s KEY not_a_field Hell; do
  plant
  echo "$name" >>"$dir/tests/outer-names.txt"
  expect 1 "tests/outer-names.txt: $name is not in src" "$name"
done
for name in gone not-here not_a_field lease; do
  plant
  echo "$name" >>"$dir/tests/outer-names-other.txt"
  expect 1 "tests/outer-names-other.txt: $name is not in" "$name"
done
plant
sed -i 's/nameId/jobId/' "$dir/src/base/wire.h"
expect 1 'tests/outer-names.txt: nameId is not in src' 'a renamed key'
plant
sed -i 's/lease_id/lease/' "$dir/src/peers/peers.proto"
expect 1 'tests/outer-names.txt: lease_id is not in src' 'a renamed field'

if ! out=$("$check" "$root" 2>&1); then
  printf '%s\n' "$out"
  failed=1
fi
exit "$failed"

#!/usr/bin/env bash
# The check of the order of folders must be able to fail: test-layers.sh CHECK ROOT
set -u
check=$1
root=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# expect STATUS WORDS: the check of the planted tree ends so, and says so.
expect() {
  out=$("$check" "$dir" 2>&1)
  status=$?
  if [ "$status" -ne "$1" ] || ! grep -qF -- "$2" <<<"$out"; then
    printf 'status %s, not %s with "%s":\n%s\n' "$status" "$1" "$2" "$out"
    failed=1
  fi
}

mkdir -p "$dir/.ci" "$dir/src/base" "$dir/src/kv" "$dir/src/node"
printf '# bottom up\nbase\nkv\nnode\n' >"$dir/.ci/layers.txt"
printf '#include <glib.h>\n' >"$dir/src/base/types.h"
printf '#include "kv/client.h"\n#include "base/types.h"\n' >"$dir/src/kv/client.c"
printf '#include "kv/client.h"\n' >"$dir/src/node/node.c"
expect 0 '0 includes run upwards'

printf '#include "base/types.h"\n#include "node/node.h"\n' >"$dir/src/kv/client.h"
expect 1 'src/kv/client.h node/node.h: runs upwards'
printf '# one\nsrc/kv/client.h node/node.h\n' >"$dir/.ci/layers-allowed.txt"
expect 0 '1 includes run upwards, 1 are allowed'
# Another file of the same folder isn't covered by that.
printf '  # include "node/node.h"\n' >"$dir/src/kv/replica.cc"
expect 1 'src/kv/replica.cc node/node.h: runs upwards'
rm "$dir/src/kv/replica.cc"

printf '#include "base/types.h"\n' >"$dir/src/kv/client.h"
expect 1 'src/kv/client.h node/node.h: is allowed and no longer occurs'
rm "$dir/.ci/layers-allowed.txt"
expect 0 '0 includes run upwards'

# What is made of a higher folder's messages belongs to that folder.
printf 'syntax = "proto3";\n' >"$dir/src/node/frames.proto"
printf '#include "frames.pb-c.h"\n' >"$dir/src/kv/client.h"
expect 1 'src/kv/client.h frames.pb-c.h: runs upwards'
rm "$dir/src/kv/client.h"

mkdir "$dir/src/attic"
printf '\n' >"$dir/src/attic/old.c"
expect 1 'the folder attic has no place'
rm -r "$dir/src/attic"
: >"$dir/.ci/layers.txt"
expect 1 'names no folder'

"$check" "$root" || failed=1
exit "$failed"

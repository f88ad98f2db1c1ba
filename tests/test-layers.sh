#!/usr/bin/env bash
# Tests .ci/layers, which checks that no folder of src includes headers of a higher layer: it must report
# each include that is not allowed, and the sources in ROOT must pass it.
# Usage: test-layers.sh CHECK ROOT
set -u
check=$1
root=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# expect STATUS WORDS: runs the check on the sample tree. It must exit with STATUS and print WORDS.
expect() {
  out=$("$check" "$dir" 2>&1)
  status=$?
  if [ "$status" -ne "$1" ] || ! grep -qF -- "$2" <<<"$out"; then
    printf 'exit status %s, expected %s and the output "%s":\n%s\n' "$status" "$1" "$2" "$out"
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
# The allowed include does not cover another file of the same folder.
printf '  # include "node/node.h"\n' >"$dir/src/kv/replica.cc"
expect 1 'src/kv/replica.cc node/node.h: runs upwards'
rm "$dir/src/kv/replica.cc"

printf '#include "base/types.h"\n' >"$dir/src/kv/client.h"
expect 1 'src/kv/client.h node/node.h: is allowed and no longer occurs'
rm "$dir/.ci/layers-allowed.txt"
expect 0 '0 includes run upwards'

# A header generated from a .proto file belongs to the folder of that file.
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

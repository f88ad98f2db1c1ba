#!/usr/bin/env bash
# Tests .ci/doc-names, which checks the names that the documentation pages quote: it must accept names
# that exist and report those that do not, and the pages in ROOT must pass it.
# Usage: test-doc-names.sh CHECK ROOT
set -u
check=$1
root=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# expect STATUS WORDS LINE: runs the check on a page whose third line is LINE. It must exit with STATUS
# and print WORDS.
expect() {
  printf '# Page\n\n%s\n' "$3" >"$dir/docs/architecture.md"
  out=$("$check" "$dir" 2>&1)
  status=$?
  if [ "$status" -ne "$1" ] || ! grep -qF -- "$2" <<<"$out"; then
    printf 'exit status %s, expected %s and the output "%s", for: %s\n%s\n' "$status" "$1" "$2" "$3" "$out"
    failed=1
  fi
}

mkdir -p "$dir/docs" "$dir/src/kv" "$dir/tests"
cat >"$dir/src/kv/client.h" <<'C'
#define MM_KEY_ROOT "mm/r/"
/* mm_only_in_a_comment MmOnlyInAComment */
typedef struct {
  int revision;
} MmClient;
typedef struct MmHidden MmHidden;
typedef void (*MmCallback)(void *data);
void mm_client_declared(MmClient *client);
C
cat >"$dir/src/kv/client.c" <<'C'
static void
refresh(MmClient *client) {
}

void
mm_client_tick(MmClient *client,
               int now) {
  mm_client_called(client);
  mm_info("client %s is here revision=%" G_GUINT64_FORMAT
          ", \"%.1f\" s", name, client->revision, age_s);
}
C
none='0 names and log lines in the pages are not in the tree'
line='docs/architecture.md:3'
# shellcheck disable=SC2016
{
  expect 0 "$none" 'Without backticks: mm_client_gone, MmGone, src/kv/gone.c.'
  expect 0 "$none" '`src/kv/client.c`, `client.c`, `src/kv`, `src/kv/client.c:3`, `tests/ --list`'
  expect 0 "$none" '`mm_client_tick`, `mm_client_tick()`, `mm_client_*`'
  expect 0 "$none" '`refresh()` (`src/kv/client.c`)'
  expect 0 "$none" '`refresh()` in `client.c`'
  expect 0 "$none" '`MmClient`, `MmClient.revision`, `MmHidden`, `MmCallback`, `MM_KEY_ROOT`'
  expect 0 "$none" '`KNOWN-RED.txt`, `mm/r/n/LABEL`, `claim-ttl-s`, `GET /healthz`, `--check`, `lease_s`'
  expect 1 "$line: there is no file src/kv/gone.c" '`src/kv/gone.c`'
  expect 1 "$line: there is no file gone.c" '`src/kv/client.c` and `gone.c`'
  expect 1 "$line: there is no file src/gone" '| `src/gone` | a folder |'
  expect 1 "$line: no function mm_client_gone is defined" 'as `mm_client_gone` does'
  expect 1 "$line: no function mm_client_declared is defined" '`mm_client_declared`'
  expect 1 "$line: no function mm_client_called is defined" '`mm_client_called()`'
  expect 1 "$line: no function mm_only_in_a_comment is defined" '`mm_only_in_a_comment`'
  expect 1 "$line: no function mm_gone_* is defined" '`mm_gone_*`'
  expect 1 "$line: no function gone is defined" '`gone()`'
  expect 1 "$line: refresh is defined in src/kv/client.c, which the page does not name" '`refresh()`, `client.h`'
  expect 1 "$line: no type or constant MmOnlyInAComment is defined" '`MmOnlyInAComment`'
  expect 1 "$line: MmClient has no field gone" '`MmClient.gone`'
  expect 1 "$line: no type or constant MM_KEY_GONE is defined" '`MM_KEY_GONE`'
  expect 0 "$none" '`info: client node-0 is here revision=12, "0.5" s`'
  expect 0 "$none" '    info: client node-0 is here revision=12, "0.5" s'
  expect 1 "$line: no such log line: info: client node-0" '`info: client node-0 is gone`'
  expect 1 "$line: no such log line: error: client node-0" '`error: client node-0 is here revision=12, "0.5" s`'
  expect 1 "$line: no such log line: info: client node-0" '    info: client node-0 is here'
  expect 1 '2 names and log lines in the pages are not in the tree' '`MmGone` and `mm_gone`'
}

"$check" "$root" || failed=1
exit "$failed"

/* Prints one line for each seed: a digest of the simulated day with that seed. If the digests
 * before and after a change of the sources are equal, the change does not alter behaviour.
 *
 *   world-digest [FIRST_SEED [SEEDS]]     default: seed 1, 20 seeds
 *
 * A digest covers every request to the key-value store and the cloud, every direct command and its
 * response, every frame between nodes, every start and end of a task, the final state that each
 * user saw, and the keys of the key-value store at the end. Machines are shared in groups for even
 * seeds only. */
#include <stdio.h>
#include <stdlib.h>

#include "base/wire.h"
#include "peers.pb-c.h"
#include "world/world.h"

#define DEFAULT_SEEDS 20
#define DAY_S 60
#define GROUPS 16

static GChecksum *digest;
static gboolean day_has_ended; /* excludes events that occur while the world is freed */

static void
add_bytes(const guint8 *bytes, gsize length) {
  if (!day_has_ended)
    g_checksum_update(digest, bytes, (gssize)length);
}

static void
add_text(const char *text) {
  /* Includes the terminating NUL, so that "ab", "c" differs from "a", "bc". */
  add_bytes((const guint8 *)text, strlen(text) + 1);
}

static void
add_json(const MmJson *value) {
  char *text = value != NULL ? mm_json_to_sorted_text(value) : NULL;

  add_text(text != NULL ? text : "");
  free(text);
}

static void
add_number(gint64 number) {
  g_autofree char *text = g_strdup_printf("%" G_GINT64_FORMAT, number);

  add_text(text);
}

/* The linker's --wrap option redirects calls of each of these functions to its digest_ variant. */
size_t real_pack(const Mm__Frame *frame, uint8_t *out) __asm__("__real_mm__frame__pack");
size_t digest_pack(const Mm__Frame *frame, uint8_t *out) __asm__("__wrap_mm__frame__pack");
int real_store(World *world, const char *method, const char *path, const MmJson *body,
               MmJson **answer) __asm__("__real_world_kv_handle");
int digest_store(World *world, const char *method, const char *path, const MmJson *body,
                 MmJson **answer) __asm__("__wrap_world_kv_handle");
int real_cloud(World *world, const char *method, const char *path, const MmJson *body,
               MmJson **answer) __asm__("__real_world_cloud_handle");
int digest_cloud(World *world, const char *method, const char *path, const MmJson *body,
                 MmJson **answer) __asm__("__wrap_world_cloud_handle");
int real_direct(WorldMachine *machine, const MmJson *body,
                MmJson **answer) __asm__("__real_world_machine_handle_direct");
int digest_direct(WorldMachine *machine, const MmJson *body,
                  MmJson **answer) __asm__("__wrap_world_machine_handle_direct");

size_t
digest_pack(const Mm__Frame *frame, uint8_t *out) {
  size_t length = real_pack(frame, out);

  add_bytes(out, length);
  return length;
}

static void
add_request(const World *world, const char *method, const char *path, const MmJson *body) {
  add_number(world->now_us);
  add_text(method);
  add_text(path);
  add_json(body);
}

int
digest_store(World *world, const char *method, const char *path, const MmJson *body,
             MmJson **answer) {
  add_request(world, method, path, body);
  return real_store(world, method, path, body, answer);
}

int
digest_cloud(World *world, const char *method, const char *path, const MmJson *body,
             MmJson **answer) {
  add_request(world, method, path, body);
  return real_cloud(world, method, path, body, answer);
}

int
digest_direct(WorldMachine *machine, const MmJson *body, MmJson **answer) {
  int status;

  add_request(machine->world, "direct", machine->id, body);
  status = real_direct(machine, body, answer);
  add_number(status);
  add_json(*answer);
  return status;
}

static void
add_task_event(gpointer data, const WorldMachine *machine, const WorldTask *task,
               WorldTaskEvent event) {
  add_number(machine->world->now_us);
  add_text(machine->id);
  add_text(task->job != NULL ? task->job->id : "");
  add_number(task->number);
  add_number((gint64)task->attempt);
  add_number(event);
  add_number(task->cause);
}

static gboolean
add_key(gpointer path, gpointer value, gpointer unused) {
  const WorldKey *key = value;

  add_text(path);
  add_number((gint64)key->version);
  add_json(key->value);
  return FALSE;
}

static World *
new_world(guint32 seed) {
  World *world = world_new(seed);

  if (seed % 2 == 0) {
    world->group_count = GROUPS;
    world->group_hold_s = 2;
  }
  world->duplicate_rate = 0.02;
  world->delayed_response_rate = seed % 3 == 0 ? 0.01 : 0;
  world->cancel_at_end_rate = 0.1;
  world->node_ends_leave_half_open_links = seed % 4 == 0;
  world->late_write_rate = seed % 5 == 0 ? 0.1 : 0;
  world->observe_task = add_task_event;
  world_add_nine_machines(world);
  return world;
}

static void
run_day(World *world) {
  world_start(world);
  world_run(world, 3);
  for (guint second = 0; second < DAY_S; second++) {
    world_add_random_activity(world, second);
    if (world->group_count > 0)
      world_random_move(world);
    world_run(world, 1);
  }
}

static void
add_final_state(World *world) {
  g_tree_foreach(world->keys, add_key, NULL);
  for (guint i = 0; i < world->jobs->len; i++) {
    const WorldJob *job = world_job_at(world, i);
    add_text(job->id);
    add_number(job->user_view);
    add_number(job->n_done);
  }
}

static void
print_digest(guint32 seed) {
  World *world;

  digest = g_checksum_new(G_CHECKSUM_SHA256);
  day_has_ended = FALSE;
  world = new_world(seed);
  run_day(world);
  world_assert_invariants(world);
  add_final_state(world);
  day_has_ended = TRUE;
  printf("seed %u: %s starts=%u writes=%" G_GUINT64_FORMAT " frames=%" G_GUINT64_FORMAT
         " events=%" G_GUINT64_FORMAT "\n",
         seed, g_checksum_get_string(digest), world->n_starts, world->n_writes, world->n_frames,
         world->n_events);
  world_free(world);
  g_checksum_free(digest);
}

int
main(int argc, char **argv) {
  guint32 first = argc > 1 ? (guint32)strtoul(argv[1], NULL, 10) : 1;
  guint32 seeds = argc > 2 ? (guint32)strtoul(argv[2], NULL, 10) : DEFAULT_SEEDS;

  for (guint32 seed = first; seed < first + seeds; seed++)
    print_digest(seed);
  return 0;
}

/* Records the data that one version stores and sends. Compatibility tests of later versions read
 * this record; see README.md in this folder.
 *
 * This program is built against the sources of the version to be recorded and uses the simulated
 * world of that version. It prints one JSON object with two members. `keys` holds the keys and
 * values of the state service at the end of a short run. `frames` holds up to FRAMES_PER_KIND
 * frames of each kind that nodes sent, in hexadecimal. */
#include <stdio.h>

#include "base/wire.h"
#include "peers.pb-c.h"
#include "world/world.h"

#define FRAME_KINDS 16
#define FRAMES_PER_KIND 3

static MmJson *frames;
static guint n_recorded[FRAME_KINDS];

/* The linker option --wrap=mm__frame__pack redirects all calls to recording_pack(). */
size_t real_pack(const Mm__Frame *frame, uint8_t *out) __asm__("__real_mm__frame__pack");
size_t recording_pack(const Mm__Frame *frame, uint8_t *out) __asm__("__wrap_mm__frame__pack");

size_t
recording_pack(const Mm__Frame *frame, uint8_t *out) {
  size_t length = real_pack(frame, out);

  if (frame->body_case < FRAME_KINDS && n_recorded[frame->body_case]++ < FRAMES_PER_KIND) {
    g_autoptr(GString) text = g_string_new(NULL);
    for (size_t i = 0; i < length; i++)
      g_string_append_printf(text, "%02x", out[i]);
    mm_json_array_append(
        frames, mm_json_pack("{s:i, s:s}", "kind", (int)frame->body_case, "bytes", text->str));
  }
  return length;
}

static gboolean
add_key(gpointer path, gpointer value, gpointer keys) {
  mm_json_object_set(keys, path, mm_json_ref(((WorldKey *)value)->value));
  return FALSE;
}

static gboolean
is_cancelled(const World *world, const WorldJob *job) {
  g_autofree char *path = g_strconcat("mm/r/j/", job->id, NULL);
  const WorldKey *key = g_tree_lookup(world->keys, path);

  return key != NULL && mm_json_count(key->value, "c", 0) != 0;
}

int
main(void) {
  World *world = world_new(3);
  WorldJob *cancelled;
  g_autofree char *text = NULL;
  MmJson *keys = mm_json_new_object();
  g_autoptr(MmJson) recorded = NULL;

  frames = mm_json_new_array();
  for (guint i = 0; i < 9; i++)
    world_add_machine(world, i % 4 == 3 ? "big" : "small", i % 2 == 0 ? "a" : "b", FALSE, 0.1);
  world_start(world);
  world_run(world, 4);
  world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 3), 2);
  world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 5, WIRE_TEAM, "team-1"), 60);
  world_submit(world,
               mm_json_pack("{s:i, s:s, s:b, s:s}", WIRE_TASKS, 2, WIRE_KIND, WIRE_KIND_SERVICE,
                            WIRE_SPREAD, 1, WIRE_TEAM, "team-2"),
               0);
  world_submit(world,
               mm_json_pack("{s:i, s:s, s:s, s:f, s:[s]}", WIRE_TASKS, 2, WIRE_KIND, WIRE_KIND_GANG,
                            WIRE_TEAM, "team-3", WIRE_DEADLINE, 400.0, WIRE_TYPES, "small"),
               300);
  world_run(world, 8);
  world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 40, WIRE_TEAM, "team-1"), 1);
  world_run(world, 6);
  world_cancel(g_ptr_array_index(world->jobs, 1));
  world_run(world, 3);
  /* Submits a job that will have only some of its tasks done, and a job that will just have been
     cancelled. */
  world_submit(world, mm_json_pack("{s:i}", WIRE_TASKS, 6), 2)->stagger_s = 4;
  cancelled
      = world_submit(world, mm_json_pack("{s:i, s:s}", WIRE_TASKS, 3, WIRE_TEAM, "team-3"), 30);
  world_run(world, 12);
  world_cancel(cancelled);
  for (guint i = 0; i < 100 && !is_cancelled(world, cancelled); i++)
    world_run(world, 0.002);
  g_tree_foreach(world->keys, add_key, keys);
  recorded = mm_json_pack("{s:o, s:O}", "keys", keys, "frames", frames);
  text = mm_json_to_sorted_text(recorded);
  puts(text);
  world_free(world);
  mm_json_unref(frames);
  return 0;
}

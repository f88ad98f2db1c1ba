/* The owner's answers on the ordinary path, and its arithmetic of limits. */
#include "base/wire.h"
#include "owner/owner.h"
#include "world/world.h"

typedef struct {
  World *world;
  MmOwner *owner;
  MmJob *job;
  MmMachine *machines[2];
} Setting;

/* Two machines that hang as soon as they are known, so that only the test asks for them. */
static Setting
set_up(guint tasks) {
  Setting s = { world_new(5) };
  WorldJob *job;

  for (guint i = 0; i < 2; i++)
    world_add_machine(s.world, "big", "a", FALSE, 0.1);
  world_start(s.world);
  world_run(s.world, 5);
  for (guint i = 0; i < 2; i++)
    ((WorldMachine *)g_ptr_array_index(s.world->machines, i))->hung_until_us
        = s.world->now_us + 3600 * (gint64)G_USEC_PER_SEC;
  job = world_submit(s.world, json_pack("{s:i}", W_TASKS, (int)tasks), 5);
  world_run(s.world, 0.5);
  for (guint i = 0; i < WORLD_NODES; i++) {
    MmNode *node = s.world->nodes[i].node;
    MmJob *known = mm_book_find(node->book, job->id);
    g_assert_nonnull(known);
    if (mm_owner_held(node->owner, known) == NULL)
      continue;
    s.owner = node->owner;
    s.job = known;
    s.machines[0] = mm_roster_find(node->roster, "m-000001");
    s.machines[1] = mm_roster_find(node->roster, "m-000002");
  }
  g_assert_nonnull(s.owner);
  return s;
}

/* -1: refused. */
static gint
ask(Setting *s, guint machine, gint first, gint second, gboolean pull) {
  MmAsk ask = { .machine = s->machines[machine],
                .stamp = s->machines[machine]->stamp,
                .room = { 16, 2, 64 },
                .pull = pull };
  MmApproval approval;

  if (first >= 0)
    ask.tasks[ask.n++] = (MmTaskRef){ s->job->spec.id, (guint)first };
  if (second >= 0)
    ask.tasks[ask.n++] = (MmTaskRef){ s->job->spec.id, (guint)second };
  return mm_owner_ask(s->owner, &ask, &approval) ? (gint)approval.number : -1;
}

/* The answers of the paper's Table I. */
static void
test_table_one(void) {
  Setting s = set_up(5);

  g_assert_cmpint(ask(&s, 0, 0, 1, FALSE), ==, 0); /* alpha: the first, the second is kept */
  g_assert_cmpuint(s.machines[0]->kept->len, ==, 1);
  g_assert_cmpint(ask(&s, 0, -1, -1, FALSE), ==, 1); /* nothing sent: from the kept-list */
  g_assert_cmpint(ask(&s, 0, 0, 2, FALSE), ==, 2);   /* gamma: the first is taken, the second not */
  g_assert_cmpint(ask(&s, 0, 0, 1, FALSE), ==, -1);  /* chi: both are taken, nothing is kept */
  g_assert_cmpint(ask(&s, 0, 3, 0, FALSE), ==, 3);   /* beta */
  g_assert_cmpuint(s.machines[0]->kept->len, ==, 0);
  g_assert_cmpint(ask(&s, 1, -1, -1, FALSE), ==, -1);
  g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), ==, 4); /* a pull gets what is left */
  g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), ==, -1);
  world_free(s.world);
}

/* What another machine keeps may be pulled; the kept-list's own machine then misses it. */
static void
test_pull_takes_kept(void) {
  Setting s = set_up(2);

  g_assert_cmpint(ask(&s, 0, 0, 1, FALSE), ==, 0);
  g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), ==, 1);
  g_assert_cmpint(ask(&s, 0, -1, -1, FALSE), ==, -1);
  world_free(s.world);
}

/* 24 cores at most and 2 a task: starts that were never confirmed count as well. */
static void
test_limit(void) {
  Setting s = set_up(20);

  for (guint i = 0; i < 8; i++)
    g_assert_cmpint(ask(&s, 0, -1, -1, TRUE), >=, 0);
  g_assert_cmpint(ask(&s, 0, -1, -1, TRUE), ==, -1); /* the machine is full */
  for (guint i = 0; i < 4; i++)
    g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), >=, 0);
  g_assert_cmpint(ask(&s, 1, -1, -1, TRUE), ==, -1); /* the team is at its limit */
  world_free(s.world);
}

/* An ask for an overtaken report must get nothing: its answer may never reach the worker. */
static void
test_old_ask(void) {
  Setting s = set_up(2);
  MmStamp now = s.machines[0]->stamp;

  s.machines[0]->stamp.seq++;
  {
    MmAsk old = { .machine = s.machines[0], .stamp = now, .room = { 16, 2, 64 }, .pull = TRUE };
    MmApproval approval;
    g_assert_false(mm_owner_ask(s.owner, &old, &approval));
  }
  g_assert_cmpint(ask(&s, 0, -1, -1, TRUE), >=, 0);
  world_free(s.world);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/owner/table-one", test_table_one);
  g_test_add_func("/owner/pull-takes-kept", test_pull_takes_kept);
  g_test_add_func("/owner/limit", test_limit);
  g_test_add_func("/owner/old-ask", test_old_ask);
  return g_test_run();
}

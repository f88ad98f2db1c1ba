#include "fleet/spare.h"

#include "rank/rank.h"

/* How far back arrivals count. */
#define MEMORY_MS 300000
#define ARRIVALS_MAX 256
/* Of a class's running tasks, the share that may be kept free for more of them. */
#define RUNNING_SHARE 0.2

typedef struct {
  gint64 at_ms; /* time of day */
  guint tasks;
} Arrival;

MmDemand *
mm_demand_new(void) {
  MmDemand *demand = g_new0(MmDemand, 1);

  demand->arrivals = g_array_new(FALSE, FALSE, sizeof(Arrival));
  return demand;
}

void
mm_demand_destroy(gpointer data) {
  MmDemand *demand = data;

  mm_spec_clear(&demand->like.spec);
  g_array_unref(demand->arrivals);
  g_free(demand);
}

void
mm_demand_note(MmDemand *demand, const MmJob *job) {
  g_autoptr(json_t) spec = mm_spec_to_json(&job->spec);
  Arrival arrival = { job->submitted_ms, job->spec.tasks };
  const char *reason;

  mm_spec_clear(&demand->like.spec);
  mm_spec_parse(&demand->like.spec, spec, &reason);
  g_array_append_val(demand->arrivals, arrival);
  if (demand->arrivals->len > ARRIVALS_MAX)
    g_array_remove_index(demand->arrivals, 0);
}

/* Whether an aim of the class is over before a machine rented for it would be up. */
static gboolean
in_a_hurry(const MmSettings *settings, const MmSpec *spec, double boot_s) {
  const MmTeamSettings *team = mm_settings_team(settings, &spec->team);
  gboolean guaranteed = team != NULL
                        && (spec->need.accelerators > 0 ? team->guaranteed.accelerators > 0
                                                        : team->guaranteed.cores > 0);

  for (guint i = 0; i < settings->aims->len; i++) {
    const MmAim *aim = &g_array_index(settings->aims, MmAim, i);
    if (aim->kind == MM_AIM_WAIT && mm_name_equal(&aim->job_class, &spec->job_class)
        && aim->within_s < boot_s * 1.5)
      return TRUE;
    if (aim->kind == MM_AIM_GUARANTEE && guaranteed && aim->within_s < boot_s * 1.5)
      return TRUE;
  }
  return FALSE;
}

guint
mm_demand_target(const MmFleet *fleet, const MmDemand *demand) {
  const MmNode *node = fleet->node;
  const MmSpec *spec = &demand->like.spec;
  gint64 now_ms = mm_node_wall_ms(node), window_ms;
  double boot_s = 0;
  guint first = 0, sum = 0, most = 0, largest = 0, running = 0;

  for (guint i = 0; i < node->types->types->len; i++) {
    const MmType *type = g_ptr_array_index(node->types->types, i);
    if (mm_spec_allows_type(spec, &type->name) && mm_room_fits(spec->need, type->room))
      boot_s = MAX(boot_s, type->boot_s);
  }
  if (node->operators->spare <= 0 || !in_a_hurry(node->settings, spec, boot_s))
    return 0;
  window_ms = (gint64)(boot_s * 1500) + 5000;
  for (guint i = 0; i < demand->arrivals->len; i++) {
    const Arrival *arrival = &g_array_index(demand->arrivals, Arrival, i);
    if (now_ms - arrival->at_ms > MEMORY_MS) {
      first = i + 1;
      continue;
    }
    largest = MAX(largest, arrival->tasks);
    for (sum += arrival->tasks;
         arrival->at_ms - g_array_index(demand->arrivals, Arrival, first).at_ms > window_ms;
         first++)
      sum -= g_array_index(demand->arrivals, Arrival, first).tasks;
    most = MAX(most, sum);
  }
  for (guint i = 0; i < node->book->order->len; i++) {
    const MmJob *job = g_ptr_array_index(node->book->order, i);
    if (mm_name_equal(&job->spec.job_class, &spec->job_class))
      running += mm_roster_running(node->roster, job->spec.id.s);
  }
  /* The start of a day, or a burst, is no measure of what comes next. */
  most = MIN(most, MAX(largest, (guint)(running * RUNNING_SHARE)));
  return (guint)(most * node->operators->spare);
}

/* What work of the class could have on the machine: all but what it may not stop. */
static MmRoom
room_for(const MmFleet *fleet, const MmSpec *spec, const MmMachine *machine) {
  MmRoom room = machine->type->room;

  for (guint i = 0; i < machine->tasks->len; i++) {
    const MmSeenTask *seen = &g_array_index(machine->tasks, MmSeenTask, i);
    const MmJob *job;
    if (seen->state == MM_SEEN_ENDED)
      continue;
    job = mm_book_find(fleet->node->book, seen->job.s);
    if (job == NULL)
      return (MmRoom){ 0 };
    if (job->spec.priority >= spec->priority || spec->priority < MM_URGENT)
      room = mm_room_sub(room, job->spec.need);
  }
  return room;
}

guint
mm_demand_room(const MmFleet *fleet, const MmDemand *demand) {
  const MmNode *node = fleet->node;
  const MmSpec *spec = &demand->like.spec;
  guint n = 0;

  for (guint i = 0; i < node->roster->order->len; i++) {
    const MmMachine *machine = g_ptr_array_index(node->roster->order, i);
    MmRoom room;
    if (!mm_machine_usable(node->roster, machine) || !mm_rank_allows(&demand->like, machine))
      continue;
    /* Machines with accelerators are kept for work that needs them. */
    if (spec->need.accelerators <= 0 && machine->type->room.accelerators > 0)
      continue;
    for (room = room_for(fleet, spec, machine); mm_room_fits(spec->need, room);
         room = mm_room_sub(room, spec->need))
      n++;
  }
  return n;
}

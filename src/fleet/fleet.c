#include "fleet/fleet.h"

#include <math.h>

#include "base/wire.h"
#include "checkin/registry.h"
#include "owner/owner.h"
#include "peers/links.h"
#include "parts/claims.h"
#include "rank/rank.h"
#include "store/replica.h"
#include "store/store.h"

#define PLAN_EVERY_MS 500
#define LIST_PAGE 500
#define RENT_MAX 50
#define RELEASE_MAX 100
#define REFUSED_MS 8000
#define REFUSED_MOST_MS 30000
#define BOOT_FLOOR_S 30
#define UNLISTED_MS 60000
/* A report is overdue, and then questions go unanswered for as long again, at most a few seconds:
 * that is time for all of them, however rare reports are. */
#define OVERDUE_PERIODS 1.25
#define OVERDUE_LEAST_S 1.75
#define QUESTIONS_S 2.5
#define PROBES 3
#define PROBE_MS 900
/* In half a second; each is a connection, and those to silent machines stay open until they fail.
 */
#define PROBES_A_ROUND 16
#define ZONE_LEAST 4
/* After so many leases a lost machine is returned, or one of a zone that is cut off. */
#define LOST_LEASES 2
#define CUT_LEASES 20
#define MUTE_LEASES 4
#define TAKEN_MS 1500
#define RELEASE_AGAIN_MS 1500

static void list(MmFleet *fleet, const char *after);

MmFleet *
mm_fleet_new(MmNode *node) {
  MmFleet *fleet = g_new0(MmFleet, 1);

  fleet->node = node;
  fleet->listed = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
  fleet->zones = g_array_new(FALSE, TRUE, sizeof(MmZoneQuiet));
  fleet->offers = g_array_new(FALSE, TRUE, sizeof(MmOffer));
  return fleet;
}

void
mm_fleet_free(MmFleet *fleet) {
  g_hash_table_unref(fleet->listed);
  g_array_unref(fleet->offers);
  g_array_unref(fleet->zones);
  g_free(fleet);
}

/* ---- the list ---- */

static MmOffer *
offer_for(MmFleet *fleet, const MmName *type, const MmName *zone, gboolean spot) {
  MmOffer offer = { .type = *type, .zone = *zone, .spot = spot };

  for (guint i = 0; i < fleet->offers->len; i++) {
    MmOffer *known = &g_array_index(fleet->offers, MmOffer, i);
    if (mm_name_equal(&known->type, type) && mm_name_equal(&known->zone, zone)
        && known->spot == spot)
      return known;
  }
  g_array_append_val(fleet->offers, offer);
  return &g_array_index(fleet->offers, MmOffer, fleet->offers->len - 1);
}

static void
take_listed(MmFleet *fleet, const json_t *item) {
  MmTime now = mm_node_now(fleet->node);
  const char *id = mm_json_string(item, WIRE_JOB_ID);
  const char *state = mm_json_string(item, WIRE_STATE);
  MmListed *listed;

  if (id == NULL || id[0] == '\0' || strlen(id) > MM_NAME_MAX)
    return;
  listed = g_hash_table_lookup(fleet->listed, id);
  if (listed == NULL) {
    MmOffer *offer;
    listed = g_new0(MmListed, 1);
    listed->id = mm_name(id);
    listed->type = mm_name(mm_json_string(item, WIRE_TYPE));
    listed->zone = mm_name(mm_json_string(item, WIRE_ZONE));
    listed->spot = mm_json_flag(item, WIRE_SPOT);
    listed->first = now;
    g_hash_table_insert(fleet->listed, listed->id.s, listed);
    offer = offer_for(fleet, &listed->type, &listed->zone, listed->spot);
    offer->asked -= offer->asked > 0;
  }
  listed->running = g_strcmp0(state, WIRE_RUNNING) == 0;
  listed->failed = g_strcmp0(state, WIRE_FAILED) == 0;
  listed->age_s = mm_json_number(item, WIRE_AGE, 0);
  listed->listed = now;
}

static void
listed_answered(gpointer data, int status, json_t *body) {
  MmFleet *fleet = data;
  const json_t *items = mm_json_get(body, WIRE_MACHINES);
  MmTime now = mm_node_now(fleet->node);
  double lag = MAX(fleet->node->settings->cloud_list_lag_s, 1);
  size_t i;
  json_t *item;
  const char *last = NULL;

  fleet->listing = FALSE;
  fleet->next_list = mm_time_add_ms(now, (gint64)(lag * 1000 / 2));
  if (status != 200 || !json_is_array(items)) {
    mm_info("no machine list from the cloud: status %d", status);
    return;
  }
  json_array_foreach(items, i, item) {
    take_listed(fleet, item);
    last = mm_json_string(item, WIRE_JOB_ID);
  }
  if (mm_json_flag(body, WIRE_MORE) && last != NULL) {
    list(fleet, last);
    return;
  }
  fleet->list_known = TRUE;
}

static void
list(MmFleet *fleet, const char *after) {
  g_autofree char *path = g_strdup_printf(
      WIRE_MACHINES_PATH "?%s%s%s" WIRE_LIMIT "=%d", after != NULL ? WIRE_AFTER "=" : "",
      after != NULL ? after : "", after != NULL ? "&" : "", LIST_PAGE);

  fleet->listing = TRUE;
  fleet->node->port.request(fleet->node->port.self, MM_TARGET_CLOUD, NULL, "GET", path, NULL, 3000,
                            listed_answered, fleet);
}

/* ---- returning ---- */

typedef struct {
  MmFleet *fleet;
  GPtrArray *ids;
} Release;

static void
release_answered(gpointer data, int status, json_t *body) {
  Release *release = data;
  MmFleet *fleet = release->fleet;
  MmNode *node = fleet->node;

  fleet->releasing = FALSE;
  if (status != 200)
    fleet->next_release = mm_time_add_ms(mm_node_now(node), RELEASE_AGAIN_MS);
  for (guint i = 0; i < release->ids->len; i++) {
    const char *id = g_ptr_array_index(release->ids, i);
    MmListed *listed = g_hash_table_lookup(fleet->listed, id);
    MmMachine *machine = mm_machine_table_find(node->machine_table, id);

    if (listed != NULL)
      listed->releasing = status == 200;
    if (listed != NULL && status == 200) {
      /* Its place can be rented anew at once. */
      MmOffer *offer = offer_for(fleet, &listed->type, &listed->zone, listed->spot);
      offer->until.us = 0;
      offer->refusals = 0;
    }
    if (machine == NULL)
      continue;
    machine->releasing = status == 200;
    if (status != 200)
      continue;
    /* A 200 proves that the machine and all on it are gone. */
    mm_info("machine %s has been returned", id);
    mm_machine_table_gone(node->machine_table, id);
    mm_links_tell_gone(node->links, id);
    if (!machine->registered)
      mm_machine_table_remove(node->machine_table, machine);
  }
  g_ptr_array_unref(release->ids);
  g_free(release);
}

/* ---- silent machines ---- */

static void
probe_answered(gpointer data, int status, json_t *body) {
  MmFleet *fleet = data;
  MmMachineTable *machine_table = fleet->node->machine_table;
  const char *id = mm_json_string(body, WIRE_MACHINE);
  MmMachine *machine = id != NULL ? mm_machine_table_find(machine_table, id) : NULL;

  if (status == 200)
    machine_table->heard_here = mm_node_now(fleet->node);
  if (status == 200 && machine != NULL)
    machine->seen = mm_time_max(machine->seen, mm_node_now(fleet->node));
  if (machine != NULL)
    machine->unanswered = 0;
}

static void
probe(MmFleet *fleet, MmMachine *machine) {
  MmNode *node = fleet->node;
  MmTime now = mm_node_now(node);

  if (fleet->probes == 0 || mm_time_ms_since(now, machine->probed) < PROBE_MS
      || machine->addr[0] == '\0')
    return;
  fleet->probes--;
  machine->probed = now;
  machine->unanswered++;
  node->port.request(node->port.self, MM_TARGET_WORKER, machine->addr, "GET", WIRE_STATUS_PATH,
                     NULL, 1500, probe_answered, fleet);
}

static gint64
overdue_ms(const MmFleet *fleet) {
  const MmNode *node = fleet->node;
  double s = node->operators->silent_release_s;

  return (
      gint64)(1000
              * (s > 0 ? s / 2 : MAX(node->settings->report_s * OVERDUE_PERIODS, OVERDUE_LEAST_S)));
}

static gint64
silence_ms(const MmFleet *fleet) {
  gint64 overdue = overdue_ms(fleet);
  gint64 questions = (gint64)(1000 * QUESTIONS_S);

  return overdue
         + (fleet->node->operators->silent_release_s > 0 ? overdue : MIN(overdue, questions));
}

/* Whether this node reaches workers at all, as far as it can have seen since the machine was last
 * asked in vain. A node cut off from the workers got no answer from any, and once returned 80
 * healthy machines that reported to its peers a little late. */
static gboolean
reaches_workers(const MmFleet *fleet, const MmMachine *machine) {
  return mm_time_before(machine->probed, fleet->node->machine_table->heard_here);
}

/* Where few machines report to this node, it may hear of none for long: it asks the one that was
 * heard of last, by whichever node. */
static void
probe_control(MmFleet *fleet) {
  const GPtrArray *order = fleet->node->machine_table->order;
  MmMachine *control = NULL;

  for (guint i = 0; i < order->len; i++) {
    MmMachine *machine = g_ptr_array_index(order, i);
    if (control == NULL || mm_time_before(control->seen, machine->seen))
      control = machine;
  }
  if (control != NULL)
    probe(fleet, control);
}

/* A machine that neither reports nor answers while the others do: its lease would prove its tasks
 * gone only at its end, the cloud proves it at once. Not when many are silent together: then the
 * trouble is hardly with the machines. */
static gboolean
silent(MmFleet *fleet, MmMachine *machine) {
  MmTime now = mm_node_now(fleet->node);
  gint64 patience_ms = silence_ms(fleet);

  /* One that is registered may have been started on, whatever it showed last: until it is heard or
   * proved gone, the parts taken anew stand still. Idle ones that were taken once cost each of them
   * a whole lease. */
  if (!machine->registered && (!machine->heard || machine->tasks->len == 0))
    return FALSE;
  /* Its notice has run out: the cloud is asked to say at once that it is gone. */
  if (machine->warned && mm_time_ms_since(now, machine->taken) > TAKEN_MS
      && mm_time_ms_since(now, machine->seen) > TAKEN_MS)
    return TRUE;
  if (mm_time_ms_since(now, machine->seen) < overdue_ms(fleet)) {
    machine->unanswered = 0;
    return FALSE;
  }
  if (fleet->quiet > MAX(2, fleet->all / 8))
    return FALSE;
  if (mm_time_ms_since(now, machine->seen) >= patience_ms && machine->unanswered >= PROBES) {
    if (reaches_workers(fleet, machine))
      return TRUE;
    probe_control(fleet);
  }
  /* Its node may have crashed and it may be on its way to another: then it answers directly. */
  probe(fleet, machine);
  return FALSE;
}

static MmZoneQuiet *
zone_quiet(MmFleet *fleet, const MmName *zone) {
  MmZoneQuiet fresh = { .zone = *zone };

  for (guint i = 0; i < fleet->zones->len; i++)
    if (mm_name_equal(&g_array_index(fleet->zones, MmZoneQuiet, i).zone, zone))
      return &g_array_index(fleet->zones, MmZoneQuiet, i);
  g_array_append_val(fleet->zones, fresh);
  return &g_array_index(fleet->zones, MmZoneQuiet, fleet->zones->len - 1);
}

static void
count_quiet(MmFleet *fleet) {
  const GPtrArray *order = fleet->node->machine_table->order;
  MmTime now = mm_node_now(fleet->node);
  /* Long before the patience ends: when the first of many that fell silent together is given up on,
   * the others must count already. */
  gint64 quiet_ms = overdue_ms(fleet);
  GHashTableIter iter;
  gpointer value;

  g_array_set_size(fleet->zones, 0);
  fleet->all = fleet->quiet = 0;
  fleet->probes = PROBES_A_ROUND;
  for (guint i = 0; i < order->len; i++) {
    const MmMachine *machine = g_ptr_array_index(order, i);
    gboolean quiet = mm_time_ms_since(now, machine->seen) >= quiet_ms;
    MmZoneQuiet *zone;
    if (!(machine->heard || machine->registered) || machine->gone)
      continue;
    zone = zone_quiet(fleet, &machine->zone);
    zone->all++;
    zone->quiet += quiet;
    fleet->all += !machine->lost;
    fleet->quiet += !machine->lost && quiet;
  }
  /* Those that run and are not known: lost ones are forgotten once they are off the register. */
  g_hash_table_iter_init(&iter, fleet->listed);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmListed *listed = value;
    const MmMachine *machine = mm_machine_table_find(fleet->node->machine_table, listed->id.s);
    MmZoneQuiet *zone;
    if (!listed->running || listed->releasing
        || (machine != NULL && (machine->heard || machine->registered)))
      continue;
    zone = zone_quiet(fleet, &listed->zone);
    zone->all++;
    zone->quiet++;
  }
}

/* A zone most of whose machines are silent is cut off, rather than that they all have ended: they
 * will be back, and renting as many anew takes longer than most cuts last. */
static gboolean
zone_is_cut(MmFleet *fleet, const MmName *name) {
  const MmZoneQuiet *zone = zone_quiet(fleet, name);

  return zone->quiet >= ZONE_LEAST && 2 * zone->quiet > zone->all;
}

static gboolean
useless(MmFleet *fleet, MmListed *listed) {
  MmNode *node = fleet->node;
  MmTime now = mm_node_now(node);
  MmMachine *machine = mm_machine_table_find(node->machine_table, listed->id.s);
  const MmType *type = mm_types_find(node->types, &listed->type);
  double patience_s
      = type != NULL ? MAX(type->boot_s * node->operators->boot_patience, BOOT_FLOOR_S) : 600;
  gint64 known_ms = mm_time_ms_since(now, listed->first);

  if (listed->failed)
    return TRUE;
  if (machine == NULL || (!machine->heard && !machine->registered))
    /* Never came up, or is up and never reported. */
    return listed->age_s > patience_s
           && (!listed->running
               || known_ms > 1000 * (gint64)node->settings->lease_s
                                 * (zone_is_cut(fleet, &listed->zone) ? CUT_LEASES : MUTE_LEASES));
  if (machine->lost)
    return mm_time_ms_since(now, machine->seen)
           > 1000 * (gint64)node->settings->lease_s
                 * (zone_is_cut(fleet, &machine->zone) ? CUT_LEASES : LOST_LEASES);
  if (silent(fleet, machine))
    return TRUE;
  /* Idle, with nothing waiting anywhere. */
  if (machine->tasks->len == 0 && machine->placed->len == 0
      && mm_time_ms_since(now, machine->idle_since)
             > (gint64)(node->operators->idle_return_s * 1000)) {
    for (guint v = 0; v < node->rank->n_views; v++)
      if (node->rank->views[v].unfinished > 0)
        return FALSE;
    return TRUE;
  }
  return FALSE;
}

/* A registered machine that is silent and not on the list has been taken: the cloud, asked to
 * return it, says at once that it is gone. Waiting out its lease instead kept parts that were taken
 * anew from starting anything for all that time. */
static void
add_unlisted(MmFleet *fleet, GPtrArray *ids, json_t *names) {
  const GPtrArray *order = fleet->node->machine_table->order;

  for (guint i = 0; i < order->len && ids->len < RELEASE_MAX; i++) {
    MmMachine *machine = g_ptr_array_index(order, i);
    if (!machine->registered || machine->lost || machine->releasing || !fleet->list_known
        || g_hash_table_contains(fleet->listed, machine->id.s) || !silent(fleet, machine))
      continue;
    mm_info("returning machine %s, which the cloud does not list", machine->id.s);
    machine->releasing = TRUE;
    g_ptr_array_add(ids, g_strdup(machine->id.s));
    json_array_append_new(names, json_string(machine->id.s));
  }
}

static void
return_machines(MmFleet *fleet) {
  MmNode *node = fleet->node;
  MmTime now = mm_node_now(node);
  Release *release;
  GHashTableIter iter;
  gpointer value;
  json_t *names;

  if (fleet->releasing || mm_time_before(now, fleet->next_release))
    return;
  names = json_array();
  release = g_new(Release, 1);
  *release = (Release){ fleet, g_ptr_array_new_with_free_func(g_free) };
  add_unlisted(fleet, release->ids, names);
  g_hash_table_iter_init(&iter, fleet->listed);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    MmListed *listed = value;
    MmMachine *machine = mm_machine_table_find(node->machine_table, listed->id.s);
    if (mm_time_ms_since(now, listed->listed) > UNLISTED_MS) {
      /* Gone from the list for long: taken or returned. */
      if (machine == NULL || machine->lost || listed->releasing)
        g_hash_table_iter_remove(&iter);
      continue;
    }
    if (listed->releasing || release->ids->len >= RELEASE_MAX || !useless(fleet, listed))
      continue;
    mm_info("returning machine %s (%s, %.0f s old)", listed->id.s,
            listed->failed    ? "failed"
            : machine == NULL ? "never came up"
                              : "not needed or silent",
            listed->age_s);
    listed->releasing = TRUE;
    if (machine != NULL)
      machine->releasing = TRUE;
    g_ptr_array_add(release->ids, g_strdup(listed->id.s));
    json_array_append_new(names, json_string(listed->id.s));
  }
  if (release->ids->len > 0) {
    g_autoptr(json_t) body = json_pack("{s:o}", WIRE_MACHINES, names);
    fleet->releasing = TRUE;
    node->port.request(node->port.self, MM_TARGET_CLOUD, NULL, "POST", WIRE_RELEASE_PATH, body,
                       5000, release_answered, release);
    return;
  }
  json_decref(names);
  g_ptr_array_unref(release->ids);
  g_free(release);
}

/* ---- renting ---- */

typedef struct {
  MmFleet *fleet;
  MmName type;
  MmName zone;
  gboolean spot;
  guint count;
} Rent;

static void
rent_answered(gpointer data, int status, json_t *body) {
  Rent *rent = data;
  MmFleet *fleet = rent->fleet;
  MmOffer *offer = offer_for(fleet, &rent->type, &rent->zone, rent->spot);
  MmTime now = mm_node_now(fleet->node);
  guint got = (guint)json_array_size(mm_json_get(body, WIRE_MACHINES));

  fleet->renting = FALSE;
  if (status == 200 && got > 0) {
    mm_info("rented %u of %u %s in %s%s", got, rent->count, rent->type.s, rent->zone.s,
            rent->spot ? ", spot" : "");
    offer->asked += got;
    offer->asked_at = now;
    offer->refusals = 0;
  }
  if (status != 200 || got < rent->count) {
    gint64 pause = status == 503 || status == 200
                       ? MIN(REFUSED_MS << MIN(offer->refusals, 4), REFUSED_MOST_MS)
                       : 1000;
    offer->refusals++;
    offer->until = mm_time_add_ms(now, pause);
  }
  g_free(rent);
}

static void
rent(MmFleet *fleet, const MmType *type, const MmName *zone, gboolean spot, guint count) {
  MmNode *node = fleet->node;
  /* Never used twice, not by another node nor by another life of this one. */
  g_autofree char *name
      = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, node->settings->label.s,
                        node->claims->claim, ++fleet->requests);
  g_autoptr(json_t) body = json_pack("{s:s, s:s, s:s, s:b, s:I}", WIRE_REQUEST, name, WIRE_TYPE,
                                     type->name.s, WIRE_ZONE, zone->s, WIRE_SPOT, spot, WIRE_COUNT,
                                     (json_int_t)MIN(count, RENT_MAX));
  Rent *call = g_new(Rent, 1);

  *call = (Rent){ fleet, type->name, *zone, spot, MIN(count, RENT_MAX) };
  fleet->renting = TRUE;
  node->port.request(node->port.self, MM_TARGET_CLOUD, NULL, "POST", WIRE_MACHINES_PATH, body, 5000,
                     rent_answered, call);
}

/* How many of the job's tasks one such machine holds beside the work it is kept for. */
static guint
slots(MmFleet *fleet, const MmJob *job, const MmType *type) {
  const MmRank *rank = fleet->node->rank;
  MmResources room = type->room;
  guint n = 1000;

  if (room.accelerators > 0 && job->spec.need.accelerators <= 0 && rank->accelerated)
    room = mm_resources_sub(room, (MmResources){ rank->largest.cores, 0, rank->largest.memory_gb });
  if (job->spec.need.cores > 0)
    n = MIN(n, (guint)MAX(room.cores / job->spec.need.cores + 1e-6, 0));
  if (job->spec.need.accelerators > 0)
    n = MIN(n, (guint)MAX(room.accelerators / job->spec.need.accelerators + 1e-6, 0));
  if (job->spec.need.memory_gb > 0)
    n = MIN(n, (guint)MAX(room.memory_gb / job->spec.need.memory_gb + 1e-6, 0));
  return n;
}

/* Machines on the way, by kind: listed but not heard, or rented and not listed. */
static void
count_coming(MmFleet *fleet) {
  MmTime now = mm_node_now(fleet->node);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < fleet->offers->len; i++) {
    MmOffer *offer = &g_array_index(fleet->offers, MmOffer, i);
    if (mm_time_ms_since(now, offer->asked_at)
        > (gint64)(3000 * MAX(fleet->node->settings->cloud_list_lag_s, 1)))
      offer->asked = 0;
    offer->coming = offer->asked;
  }
  g_hash_table_iter_init(&iter, fleet->listed);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmListed *listed = value;
    const MmMachine *machine = mm_machine_table_find(fleet->node->machine_table, listed->id.s);
    if (!listed->releasing && !listed->failed && (machine == NULL || !machine->heard)
        && mm_time_ms_since(now, listed->listed) < UNLISTED_MS)
      offer_for(fleet, &listed->type, &listed->zone, listed->spot)->coming++;
  }
}

typedef struct {
  const MmType *type;
  MmName zone;
  gboolean spot;
  guint slots;
  double cost; /* of one slot */
} Option;

static gint
cheaper_first(gconstpointer a, gconstpointer b) {
  const Option *x = a, *y = b;

  return x->cost < y->cost ? -1 : x->cost > y->cost;
}

static GArray *
options_for(MmFleet *fleet, const MmJob *job) {
  MmNode *node = fleet->node;
  GArray *options = g_array_new(FALSE, TRUE, sizeof(Option));

  for (guint i = 0; i < node->types->types->len; i++) {
    const MmType *type = g_ptr_array_index(node->types->types, i);
    if (!mm_spec_allows_type(&job->spec, &type->name))
      continue;
    for (guint z = 0; z < type->zones->len; z++) {
      const MmName *zone = &g_array_index(type->zones, MmName, z);
      if (!mm_name_is_empty(&job->spec.zone) && !mm_name_equal(&job->spec.zone, zone))
        continue;
      for (guint spot = 0; spot < 2; spot++) {
        Option option = { type, *zone, spot == 1, slots(fleet, job, type), 0 };
        if ((spot && !job->spec.spot) || option.slots == 0)
          continue;
        option.cost = (spot ? type->spot_price : type->price) / option.slots;
        g_array_append_val(options, option);
      }
    }
  }
  g_array_sort(options, cheaper_first);
  return options;
}

/* For a job that must have all its tasks in one zone: only the zone of the best offer that is not
 * refused at the moment. */
static void
keep_one_zone(MmFleet *fleet, GArray *options) {
  MmTime now = mm_node_now(fleet->node);
  MmName zone = { { 0 } };

  for (guint i = 0; i < options->len && mm_name_is_empty(&zone); i++) {
    const Option *option = &g_array_index(options, Option, i);
    if (!mm_time_before(now,
                        offer_for(fleet, &option->type->name, &option->zone, option->spot)->until))
      zone = option->zone;
  }
  for (guint i = options->len; i > 0; i--)
    if (!mm_name_equal(&g_array_index(options, Option, i - 1).zone, &zone))
      g_array_remove_index(options, i - 1);
}

/* Waiting tasks of all owners against what is free and what is coming; the first kind of machine
 * that is short is rented, cheapest slot first. One request at a time. */
static void
plan(MmFleet *fleet) {
  MmNode *node = fleet->node;
  MmRank *rank = node->rank;
  MmTime now = mm_node_now(node);
  g_autoptr(GHashTable) promised = g_hash_table_new(g_direct_hash, g_direct_equal);

  if (fleet->renting || !fleet->list_known || node->operators->rent < 0.5)
    return;
  count_coming(fleet);
  for (guint v = 0; v < rank->n_views; v++) {
    for (guint i = 0; i < rank->views[v].waiting->len; i++) {
      const MmWaiting *waiting = g_ptr_array_index(rank->views[v].waiting, i);
      const MmJob *job = mm_job_table_find(node->job_table, waiting->job.s);
      g_autoptr(GArray) options = NULL;
      guint tasks = 0;

      if (job == NULL || job->cancelled)
        continue;
      for (guint k = 1; k < waiting->ranges->len; k += 2)
        tasks += g_array_index(waiting->ranges, guint, k);
      options = options_for(fleet, job);
      if (job->spec.one_zone)
        keep_one_zone(fleet, options);
      for (guint o = 0; o < options->len && tasks > 0; o++) {
        const Option *option = &g_array_index(options, Option, o);
        MmOffer *offer = offer_for(fleet, &option->type->name, &option->zone, option->spot);
        gpointer key = GUINT_TO_POINTER((guint)(offer - (MmOffer *)fleet->offers->data) + 1);
        guint used = GPOINTER_TO_UINT(g_hash_table_lookup(promised, key));
        guint room = offer->coming * option->slots;
        guint take = MIN(tasks, room > used ? room - used : 0);

        g_hash_table_insert(promised, key, GUINT_TO_POINTER(used + take));
        tasks -= take;
        if (tasks == 0 || mm_time_before(now, offer->until) || zone_is_cut(fleet, &option->zone))
          continue;
        rent(fleet, option->type, &option->zone, option->spot,
             (tasks + option->slots - 1) / option->slots);
        return;
      }
    }
  }
}

void
mm_fleet_tick(MmFleet *fleet) {
  MmNode *node = fleet->node;
  MmTime now = mm_node_now(node);
  gboolean active = mm_claims_valid(node->claims) && mm_claims_holds(node->claims, MM_SHARD_FLEET);

  if (active != fleet->active) {
    fleet->active = active;
    fleet->list_known = FALSE;
    g_hash_table_remove_all(fleet->listed);
    mm_info("the fleet is %s", active ? "held here" : "no longer held here");
  }
  if (!active || !mm_types_known(node->types))
    return;
  if (!fleet->listing && !mm_time_before(now, fleet->next_list))
    list(fleet, NULL);
  if (mm_time_before(now, fleet->next_plan))
    return;
  fleet->next_plan = mm_time_add_ms(now, PLAN_EVERY_MS);
  count_quiet(fleet);
  return_machines(fleet);
  /* A lost machine stays on the register for nobody: after the next taking of a part it would have
   * to be proved lost once more before its tasks, or any others, could be given out. */
  mm_registry_drop_lost(node->registry);
  plan(fleet);
}

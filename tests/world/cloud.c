/* The simulated cloud: instance types, launches and releases of machines, and the machine list. */
#include "world/internal.h"

#include "base/wire.h"

static const struct {
  const char *name;
  double cores, accelerators, memory_gb, boot_s;
} machine_types[] = { { "small", 4, 0, 16, 6 }, { "big", 16, 2, 64, 8 } };

static const char *const zones[] = { "a", "b", "c" };

double
world_type_cores(const char *type) {
  for (guint i = 0; i < G_N_ELEMENTS(machine_types); i++)
    if (strcmp(machine_types[i].name, type) == 0)
      return machine_types[i].cores;
  g_assert_not_reached();
}

WorldMachine *
world_add_machine(World *world, const char *type, const char *zone, gboolean spot, double boot_s) {
  WorldMachine *machine = g_new0(WorldMachine, 1);

  machine->world = world;
  g_snprintf(machine->id, sizeof machine->id, "m-%06u", ++world->last_machine_number);
  g_snprintf(machine->address, sizeof machine->address, "10.1.%u.%u:9000",
             world->last_machine_number / 200, world->last_machine_number % 200 + 1);
  g_strlcpy(machine->type, type, sizeof machine->type);
  g_strlcpy(machine->zone, zone, sizeof machine->zone);
  machine->is_spot = spot;
  machine->tasks = g_ptr_array_new();
  machine->launched_at_us = world->now_us;
  machine->failure_rate = world_uniform(world, 0, 1) < 0.05 ? 0.6 : 0.005;
  machine->boots_at_us = world->now_us + (gint64)(boot_s * G_USEC_PER_SEC);
  g_ptr_array_add(world->machines, machine);
  /* 3 % of the machines never start. */
  if (world_uniform(world, 0, 1) > 0.03)
    world_schedule(world, machine->boots_at_us, world_machine_boot, machine);
  return machine;
}

void
world_add_machines(World *world, guint n, const char *type, guint n_zones) {
  for (guint i = 0; i < n; i++)
    world_add_machine(world, type, zones[i % n_zones], FALSE, 0.1);
}

static void
on_restart_due(gpointer data) {
  WorldMachine *machine = data;

  if (!machine->has_failed && !machine->is_terminated && !machine->is_up)
    world_machine_boot(machine);
}

void
world_restart_machine(World *world, WorldMachine *machine, double down_s) {
  world_machine_clear_tasks(machine);
  machine->is_up = FALSE;
  machine->is_heartbeat_in_flight = FALSE;
  machine->heartbeat_number++;
  world_schedule(world, world->now_us + (gint64)(down_s * G_USEC_PER_SEC), on_restart_due, machine);
}

void
world_kill_machine(World *world, WorldMachine *machine) {
  world_machine_clear_tasks(machine);
  machine->is_up = FALSE;
  machine->has_failed = TRUE;
}

static MmJson *
type_list(void) {
  MmJson *list = mm_json_new_array();

  for (guint i = 0; i < G_N_ELEMENTS(machine_types); i++)
    mm_json_array_append(
        list,
        mm_json_pack("{s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:[s,s,s]}", WIRE_TYPE_NAME,
                     machine_types[i].name, WIRE_CORES, machine_types[i].cores, WIRE_ACCELERATORS,
                     machine_types[i].accelerators, WIRE_MEMORY, machine_types[i].memory_gb,
                     WIRE_CACHE_GB, 10.0, WIRE_FETCH_RATE, 1.0, WIRE_PRICE,
                     machine_types[i].cores * 0.05, WIRE_SPOT_PRICE, machine_types[i].cores * 0.02,
                     WIRE_BOOT, machine_types[i].boot_s, WIRE_ZONES, zones[0], zones[1], zones[2]));
  return mm_json_pack("{s:o}", WIRE_TYPES, list);
}

static int
launch_machines(World *world, const MmJson *body, MmJson **response) {
  const char *launch_id = mm_json_string(body, WIRE_REQUEST),
             *type = mm_json_string(body, WIRE_TYPE);
  const char *zone = mm_json_string(body, WIRE_ZONE);
  gboolean spot = mm_json_flag(body, WIRE_SPOT);
  guint count = (guint)mm_json_count(body, WIRE_COUNT, 0), n_existing = 0;
  MmJson *names;
  double boot_s = 0;

  g_assert_true(launch_id != NULL && type != NULL && zone != NULL && count >= 1 && count <= 50);
  if (g_hash_table_contains(world->launch_responses, launch_id)) {
    *response = mm_json_ref(g_hash_table_lookup(world->launch_responses, launch_id));
    return 200;
  }
  for (guint i = 0; i < G_N_ELEMENTS(machine_types); i++)
    if (strcmp(machine_types[i].name, type) == 0)
      boot_s = machine_types[i].boot_s;
  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    n_existing += !machine->is_terminated && strcmp(machine->type, type) == 0
                  && strcmp(machine->zone, zone) == 0 && machine->is_spot == spot;
  }
  if (n_existing >= world->capacity) {
    *response = mm_json_error("no capacity");
    return 503;
  }
  names = mm_json_new_array();
  for (; count > 0 && n_existing < world->capacity; count--, n_existing++)
    mm_json_array_append(
        names, mm_json_new_string(world_add_machine(world, type, zone, spot,
                                                    boot_s * world_uniform(world, 0.6, 1.5))
                                      ->id));
  *response = mm_json_pack("{s:o}", WIRE_MACHINES, names);
  g_hash_table_insert(world->launch_responses, g_strdup(launch_id), mm_json_ref(*response));
  return 200;
}

static int
release_machines(World *world, const MmJson *body, MmJson **response) {
  size_t i;
  MmJson *name;

  MM_JSON_ARRAY_FOREACH (mm_json_get(body, WIRE_MACHINES), i, name) {
    for (guint k = 0; k < world->machines->len; k++) {
      WorldMachine *machine = world_machine_at(world, k);
      if (strcmp(machine->id, mm_json_string_value(name)) == 0) {
        world_kill_machine(world, machine);
        machine->is_terminated = TRUE;
      }
    }
  }
  *response = mm_json_new_object();
  return 200;
}

static MmJson *
machine_list(World *world) {
  MmJson *list = mm_json_new_array();

  for (guint i = 0; i < world->machines->len; i++) {
    const WorldMachine *machine = world_machine_at(world, i);
    double age_s = (double)(world->now_us - machine->launched_at_us) / G_USEC_PER_SEC;
    /* Machines appear in the list 2 s after their launch, because the list of a real cloud lags
     * too. */
    if (machine->is_terminated || age_s < 2)
      continue;
    mm_json_array_append(list, mm_json_pack("{s:s, s:s, s:s, s:s, s:b, s:s, s:f}", WIRE_JOB_ID,
                                            machine->id, WIRE_ADDRESS, machine->address, WIRE_TYPE,
                                            machine->type, WIRE_ZONE, machine->zone, WIRE_SPOT,
                                            machine->is_spot, WIRE_STATE,
                                            machine->has_failed ? WIRE_FAILED
                                            : machine->is_up    ? WIRE_RUNNING
                                                                : WIRE_BOOTING,
                                            WIRE_AGE, age_s));
  }
  return mm_json_pack("{s:o, s:b}", WIRE_MACHINES, list, WIRE_MORE, FALSE);
}

int
world_cloud_handle(World *world, const char *method, const char *path, const MmJson *body,
                   MmJson **response) {
  if (world->now_us < world->cloud_down_until_us) {
    *response = mm_json_error("trouble");
    return 503;
  }
  if (strcmp(path, WIRE_MACHINE_TYPES_PATH) == 0) {
    *response = type_list();
    return 200;
  }
  if (strcmp(path, WIRE_RELEASE_PATH) == 0)
    return release_machines(world, body, response);
  if (strcmp(method, "POST") == 0)
    return launch_machines(world, body, response);
  *response = machine_list(world);
  return 200;
}

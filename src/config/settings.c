#include "config/settings.h"

#include <math.h>

#include "base/json.h"
#include "config/config-error.h"
#include "config/toml.h"

/* State of validating a settings file. Reading continues after an error; only the first error is
 * kept. */
typedef struct {
  const char *path;
  GError *error;
} Validation;

static void
record_error(Validation *validation, const char *field, const char *problem) {
  if (validation->error == NULL)
    g_set_error(&validation->error, MM_CONFIG_ERROR, MM_CONFIG_ERROR_INVALID, "%s: %s: %s",
                validation->path, field, problem);
}

static const char *
read_text(Validation *validation, const MmJson *object, const char *prefix, const char *key) {
  const char *value = mm_json_string(object, key);
  g_autofree char *field = g_strconcat(prefix, key, NULL);

  if (mm_json_get(object, key) == NULL)
    record_error(validation, field, "is missing");
  else if (value == NULL)
    record_error(validation, field, "must be text");
  else if (value[0] == '\0' || strlen(value) > MM_NAME_MAX)
    record_error(validation, field, "must have 1 to 63 characters");
  return value != NULL ? value : "";
}

static char *
read_address(Validation *validation, const MmJson *object, const char *prefix, const char *key) {
  const char *value = read_text(validation, object, prefix, key);
  const char *colon = strrchr(value, ':');
  char *end = NULL;

  if (validation->error == NULL) {
    guint64 port = colon != NULL ? g_ascii_strtoull(colon + 1, &end, 10) : 0;
    if (colon == NULL || colon == value || *end != '\0' || port == 0 || port > 65535) {
      g_autofree char *field = g_strconcat(prefix, key, NULL);
      record_error(validation, field, "must be an address with a port, such as 10.0.0.1:8080");
    }
  }
  return g_strdup(value);
}

static double
read_number(Validation *validation, const MmJson *object, const char *prefix, const char *key,
            double min, double max) {
  const MmJson *value = mm_json_get(object, key);
  g_autofree char *field = g_strconcat(prefix, key, NULL);
  double parsed = mm_json_number_value(value);

  if (value == NULL)
    record_error(validation, field, "is missing");
  else if (!mm_json_is_number(value) || !isfinite(parsed))
    record_error(validation, field, "must be a number");
  else if (parsed < min || parsed > max) {
    g_autofree char *problem = g_strdup_printf("must be between %g and %g", min, max);
    record_error(validation, field, problem);
  }
  return parsed;
}

static const MmJson *
read_table(Validation *validation, const MmJson *object, const char *key, const char *field) {
  const MmJson *value = mm_json_get(object, key);

  if (!mm_json_is_object(value))
    record_error(validation, field, value == NULL ? "is missing" : "must be a table");
  return value;
}

static void
read_peers(Validation *validation, MmSettings *settings, const MmJson *root) {
  const MmJson *list = mm_json_get(root, "others");
  size_t i;
  MmJson *item;

  if (list != NULL && !mm_json_is_array(list))
    record_error(validation, "others", "must be a list of tables");
  if (mm_json_array_size(list) > MM_PEERS_MAX)
    record_error(validation, "others", "must not have more than 31 entries");
  MM_JSON_ARRAY_FOREACH (list, i, item) {
    MmPeerSettings peer = { .label = mm_name(read_text(validation, item, "others.", "label")),
                            .zone = mm_name(mm_json_string(item, "zone")),
                            .endpoint = read_address(validation, item, "others.", "endpoint") };
    if (mm_name_equal(&peer.label, &settings->label))
      record_error(validation, "others.label", "must not be this node's own label");
    g_array_append_val(settings->peers, peer);
  }
}

static void
read_teams(Validation *validation, MmSettings *settings, const MmJson *settings_table) {
  const MmJson *list = mm_json_get(settings_table, "teams");
  size_t i;
  MmJson *item;

  if (!mm_json_is_array(list) || mm_json_array_size(list) == 0)
    record_error(validation, "settings.teams", "must be a list of at least one table");
  MM_JSON_ARRAY_FOREACH (list, i, item) {
    MmTeamSettings team = {
      .name = mm_name(read_text(validation, item, "settings.teams.", "name")),
      .quota = { read_number(validation, item, "settings.teams.", "cpus", 0, 1e9),
                 read_number(validation, item, "settings.teams.", "gpus", 0, 1e9), 0 },
      .limit = { read_number(validation, item, "settings.teams.", "cpus_max", 0, 1e9),
                 read_number(validation, item, "settings.teams.", "gpus_max", 0, 1e9), 0 },
    };
    if (mm_settings_team(settings, &team.name) != NULL)
      record_error(validation, "settings.teams.name", "must not occur twice");
    if (team.limit.cores > 0 && team.quota.cores > team.limit.cores)
      record_error(validation, "settings.teams.cpus", "must not exceed cpus_max");
    if (team.limit.accelerators > 0 && team.quota.accelerators > team.limit.accelerators)
      record_error(validation, "settings.teams.gpus", "must not exceed gpus_max");
    g_array_append_val(settings->teams, team);
  }
}

static void
read_objectives(MmSettings *settings, const MmJson *settings_table) {
  const MmJson *list = mm_json_get(settings_table, "objectives");
  size_t i;
  MmJson *item;

  MM_JSON_ARRAY_FOREACH (list, i, item) {
    const char *kind = mm_json_string(item, "kind");
    MmObjective objective = { .kind = MM_OBJECTIVE_OTHER,
                              .job_class = mm_name(mm_json_string(item, "class")),
                              .within_s = mm_json_number(item, "within_s", 0),
                              .deadline_factor = mm_json_number(item, "times", 1) };
    if (g_strcmp0(kind, "wait") == 0)
      objective.kind = MM_OBJECTIVE_WAIT;
    else if (g_strcmp0(kind, "finished") == 0)
      objective.kind = MM_OBJECTIVE_FINISHED;
    else if (g_strcmp0(kind, "deadline") == 0)
      objective.kind = MM_OBJECTIVE_DEADLINE;
    else if (g_strcmp0(kind, "guarantee") == 0)
      objective.kind = MM_OBJECTIVE_QUOTA;
    g_array_append_val(settings->objectives, objective);
  }
}

static void
peer_clear(gpointer data) {
  g_free(((MmPeerSettings *)data)->endpoint);
}

static void
read_workers(Validation *validation, MmSettings *settings, const MmJson *settings_table) {
  const MmJson *section = read_table(validation, settings_table, "workers", "settings.workers");

  settings->heartbeat_interval_s
      = read_number(validation, section, "settings.workers.", "report_s", 0.05, 3600);
  settings->worker_lease_s
      = read_number(validation, section, "settings.workers.", "lease_s", 0.1, 86400);
  /* These settings must be present and valid, although the scheduler does not use them. */
  read_number(validation, section, "settings.workers.", "gang_wait_s", 0, 86400);
  read_number(validation, section, "settings.workers.", "gang_peer_s", 0, 86400);
  read_number(validation, section, "settings.workers.", "cancel_s", 0, 86400);
  if (settings->worker_lease_s <= settings->heartbeat_interval_s)
    record_error(validation, "settings.workers.lease_s", "must exceed report_s");
}

/* Reads a limit of the key-value store. If a future limit is announced under `next`, returns the
 * smaller of the current and the future limit. The smaller limit applies from start-up, because the
 * future limit takes effect without notice. */
static double
read_kv_limit(Validation *validation, const MmJson *section, const char *key, double min,
              double max) {
  const MmJson *announced = mm_json_get(section, "next");
  double limit = read_number(validation, section, "settings.state.", key, min, max);

  if (mm_json_get(announced, key) == NULL)
    return limit;
  return MIN(limit, read_number(validation, announced, "settings.state.next.", key, min, max));
}

static void
read_kv_store(Validation *validation, MmSettings *settings, const MmJson *settings_table) {
  const MmJson *section = read_table(validation, settings_table, "state", "settings.state");

  if (mm_json_get(section, "next") != NULL)
    read_table(validation, section, "next", "settings.state.next");
  settings->kv_requests_per_s = read_kv_limit(validation, section, "rps", 1, 1e9);
  settings->kv_writes_per_s = read_kv_limit(validation, section, "write_rps", 1, 1e9);
  settings->kv_max_value_bytes
      = (guint)(read_kv_limit(validation, section, "value_kb", 1, 1e6) * 1024);
  settings->kv_max_operations = (guint)read_kv_limit(validation, section, "txn_ops", 2, 1e6);
}

static void
read_cloud(Validation *validation, MmSettings *settings, const MmJson *settings_table) {
  const MmJson *section = read_table(validation, settings_table, "cloud", "settings.cloud");

  settings->cloud_requests_per_s
      = read_number(validation, section, "settings.cloud.", "rps", 0.01, 1e9);
  settings->cloud_list_delay_s
      = read_number(validation, section, "settings.cloud.", "list_lag_s", 0, 86400);
}

static void
read_resources(Validation *validation, MmSettings *settings, const MmJson *settings_table) {
  const MmJson *section = mm_json_get(settings_table, "resources");

  settings->cpu_share = mm_json_number(section, "cpu", 1);
  settings->memory_mb = mm_json_number(section, "ram_mb", 512);
  settings->max_sockets = (guint)mm_json_number(section, "max_sockets", 1000);
  if (settings->cpu_share <= 0)
    record_error(validation, "settings.resources.cpu", "must be above 0");
  if (settings->memory_mb < 1)
    record_error(validation, "settings.resources.ram_mb", "must be at least 1");
  if (settings->max_sockets < 16)
    record_error(validation, "settings.resources.max_sockets", "must be at least 16");
}

static MmSettings *
settings_new(void) {
  MmSettings *settings = g_new0(MmSettings, 1);

  settings->peers = g_array_new(FALSE, TRUE, sizeof(MmPeerSettings));
  g_array_set_clear_func(settings->peers, peer_clear);
  settings->teams = g_array_new(FALSE, TRUE, sizeof(MmTeamSettings));
  settings->objectives = g_array_new(FALSE, TRUE, sizeof(MmObjective));
  return settings;
}

static void
read_node(Validation *validation, MmSettings *settings, const MmJson *root) {
  const MmJson *external_table;

  settings->label = mm_name(read_text(validation, root, "", "label"));
  settings->zone = mm_name(read_text(validation, root, "", "zone"));
  settings->http_listen_address = read_address(validation, root, "", "front");
  settings->peer_listen_address = read_address(validation, root, "", "cluster_listen");
  read_peers(validation, settings, root);
  external_table = read_table(validation, root, "external", "external");
  settings->cloud_address = read_address(validation, external_table, "external.", "cloud");
  settings->kv_address = read_address(validation, external_table, "external.", "state");
}

MmSettings *
mm_settings_from_json(const char *path, const MmJson *root, GError **error) {
  Validation validation = { .path = path };
  g_autoptr(MmSettings) settings = settings_new();
  const MmJson *settings_table;

  read_node(&validation, settings, root);
  settings_table = read_table(&validation, root, "settings", "settings");
  settings->node_count
      = (guint)read_number(&validation, settings_table, "settings.", "count", 1, 1000);
  read_teams(&validation, settings, settings_table);
  read_objectives(settings, settings_table);
  read_workers(&validation, settings, settings_table);
  read_kv_store(&validation, settings, settings_table);
  read_cloud(&validation, settings, settings_table);
  read_resources(&validation, settings, settings_table);
  if (validation.error != NULL) {
    g_propagate_error(error, validation.error);
    return NULL;
  }
  return g_steal_pointer(&settings);
}

MmSettings *
mm_settings_read(const char *path, GError **error) {
  g_autoptr(MmJson) root = mm_toml_read(path, error);

  return root != NULL ? mm_settings_from_json(path, root, error) : NULL;
}

#define BYTES_PER_MB (1024.0 * 1024.0)

gsize
mm_settings_memory_bytes(const MmSettings *settings, double share) {
  return (gsize)(settings->memory_mb * BYTES_PER_MB * share);
}

gboolean
mm_settings_has_node(const MmSettings *settings, const char *label) {
  if (strcmp(settings->label.s, label) == 0)
    return TRUE;
  for (guint i = 0; i < settings->peers->len; i++)
    if (strcmp(g_array_index(settings->peers, MmPeerSettings, i).label.s, label) == 0)
      return TRUE;
  return FALSE;
}

void
mm_settings_free(MmSettings *settings) {
  if (settings == NULL)
    return;
  g_free(settings->http_listen_address);
  g_free(settings->peer_listen_address);
  g_free(settings->cloud_address);
  g_free(settings->kv_address);
  g_array_unref(settings->peers);
  g_array_unref(settings->teams);
  g_array_unref(settings->objectives);
  g_free(settings);
}

gint
mm_settings_team_index(const MmSettings *settings, const MmName *name) {
  for (guint i = 0; i < settings->teams->len; i++)
    if (mm_name_equal(&g_array_index(settings->teams, MmTeamSettings, i).name, name))
      return (gint)i;
  return MM_NO_TEAM;
}

const MmTeamSettings *
mm_settings_team(const MmSettings *settings, const MmName *name) {
  gint i = mm_settings_team_index(settings, name);

  return i != MM_NO_TEAM ? &g_array_index(settings->teams, MmTeamSettings, i) : NULL;
}

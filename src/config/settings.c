#include "config/settings.h"

#include <math.h>
#include <stdlib.h>

#include "base/json.h"
#include "config/toml.h"

typedef struct {
  const char *path;
  char *reason;
} Check;

static void
complain(Check *validation, const char *field, const char *problem) {
  if (validation->reason == NULL)
    validation->reason = g_strdup_printf("%s: %s: %s", validation->path, field, problem);
}

static const char *
text(Check *validation, const json_t *object, const char *prefix, const char *key) {
  const char *value = mm_json_string(object, key);
  g_autofree char *field = g_strconcat(prefix, key, NULL);

  if (mm_json_get(object, key) == NULL)
    complain(validation, field, "is missing");
  else if (value == NULL)
    complain(validation, field, "must be text");
  else if (value[0] == '\0' || strlen(value) > MM_NAME_MAX)
    complain(validation, field, "must have 1 to 63 characters");
  return value != NULL ? value : "";
}

static char *
address(Check *validation, const json_t *object, const char *prefix, const char *key) {
  const char *value = text(validation, object, prefix, key);
  const char *colon = strrchr(value, ':');
  char *end = NULL;

  if (validation->reason == NULL) {
    guint64 port = colon != NULL ? g_ascii_strtoull(colon + 1, &end, 10) : 0;
    if (colon == NULL || colon == value || *end != '\0' || port == 0 || port > 65535) {
      g_autofree char *field = g_strconcat(prefix, key, NULL);
      complain(validation, field, "must be an address with a port, such as 10.0.0.1:8080");
    }
  }
  return g_strdup(value);
}

static double
number(Check *validation, const json_t *object, const char *prefix, const char *key, double min,
       double max) {
  const json_t *value = mm_json_get(object, key);
  g_autofree char *field = g_strconcat(prefix, key, NULL);
  double parsed = json_number_value(value);

  if (value == NULL)
    complain(validation, field, "is missing");
  else if (!json_is_number(value) || !isfinite(parsed))
    complain(validation, field, "must be a number");
  else if (parsed < min || parsed > max) {
    g_autofree char *problem = g_strdup_printf("must lie between %g and %g", min, max);
    complain(validation, field, problem);
  }
  return parsed;
}

static const json_t *
table(Check *validation, const json_t *object, const char *key, const char *field) {
  const json_t *value = mm_json_get(object, key);

  if (!json_is_object(value))
    complain(validation, field, value == NULL ? "is missing" : "must be a table");
  return value;
}

static void
read_peers(Check *validation, MmSettings *settings, const json_t *root) {
  const json_t *list = mm_json_get(root, "others");
  size_t i;
  json_t *item;

  if (list != NULL && !json_is_array(list))
    complain(validation, "others", "must be a list of tables");
  if (json_array_size(list) > MM_PEERS_MAX)
    complain(validation, "others", "must not be longer than 31");
  json_array_foreach(list, i, item) {
    MmPeerSettings peer = { .label = mm_name(text(validation, item, "others.", "label")),
                            .zone = mm_name(mm_json_string(item, "zone")),
                            .endpoint = address(validation, item, "others.", "endpoint") };
    if (mm_name_equal(&peer.label, &settings->label))
      complain(validation, "others.label", "must not be this node's own label");
    g_array_append_val(settings->peers, peer);
  }
}

static void
read_teams(Check *validation, MmSettings *settings, const json_t *settings_table) {
  const json_t *list = mm_json_get(settings_table, "teams");
  size_t i;
  json_t *item;

  if (!json_is_array(list) || json_array_size(list) == 0)
    complain(validation, "settings.teams", "must be a list of at least one table");
  json_array_foreach(list, i, item) {
    MmTeamSettings team = {
      .name = mm_name(text(validation, item, "settings.teams.", "name")),
      .guaranteed = { number(validation, item, "settings.teams.", "cpus", 0, 1e9),
                      number(validation, item, "settings.teams.", "gpus", 0, 1e9), 0 },
      .limit = { number(validation, item, "settings.teams.", "cpus_max", 0, 1e9),
                 number(validation, item, "settings.teams.", "gpus_max", 0, 1e9), 0 },
    };
    if (mm_settings_team(settings, &team.name) != NULL)
      complain(validation, "settings.teams.name", "names a team twice");
    if (team.limit.cores > 0 && team.guaranteed.cores > team.limit.cores)
      complain(validation, "settings.teams.cpus", "must not exceed cpus_max");
    if (team.limit.accelerators > 0 && team.guaranteed.accelerators > team.limit.accelerators)
      complain(validation, "settings.teams.gpus", "must not exceed gpus_max");
    g_array_append_val(settings->teams, team);
  }
}

static void
read_aims(MmSettings *settings, const json_t *settings_table) {
  const json_t *list = mm_json_get(settings_table, "objectives");
  size_t i;
  json_t *item;

  json_array_foreach(list, i, item) {
    const char *kind = mm_json_string(item, "kind");
    MmAim objective = { .kind = MM_AIM_OTHER,
                        .job_class = mm_name(mm_json_string(item, "class")),
                        .within_s = mm_json_number(item, "within_s", 0),
                        .times = mm_json_number(item, "times", 1),
                        .share = mm_json_number(item, "share", 0) };
    if (g_strcmp0(kind, "wait") == 0)
      objective.kind = MM_AIM_WAIT;
    else if (g_strcmp0(kind, "finished") == 0)
      objective.kind = MM_AIM_FINISHED;
    else if (g_strcmp0(kind, "deadline") == 0)
      objective.kind = MM_AIM_DEADLINE;
    else if (g_strcmp0(kind, "guarantee") == 0)
      objective.kind = MM_AIM_GUARANTEE;
    g_array_append_val(settings->aims, objective);
  }
}

static void
peer_clear(gpointer data) {
  g_free(((MmPeerSettings *)data)->endpoint);
}

static void
read_workers(Check *validation, MmSettings *settings, const json_t *settings_table) {
  const json_t *section = table(validation, settings_table, "workers", "settings.workers");

  settings->report_s = number(validation, section, "settings.workers.", "report_s", 0.05, 3600);
  settings->lease_s = number(validation, section, "settings.workers.", "lease_s", 0.1, 86400);
  settings->gang_wait_s = number(validation, section, "settings.workers.", "gang_wait_s", 0, 86400);
  settings->gang_peer_s = number(validation, section, "settings.workers.", "gang_peer_s", 0, 86400);
  settings->cancel_s = number(validation, section, "settings.workers.", "cancel_s", 0, 86400);
  if (settings->lease_s <= settings->report_s)
    complain(validation, "settings.workers.lease_s", "must exceed report_s");
}

/* A limit of the state service: the smaller of what holds now and what is announced, from the start
 * on, since the change comes without notice. */
static double
state_limit(Check *validation, const json_t *section, const char *key, double min, double max) {
  const json_t *announced = mm_json_get(section, "next");
  double limit = number(validation, section, "settings.state.", key, min, max);

  if (mm_json_get(announced, key) == NULL)
    return limit;
  return MIN(limit, number(validation, announced, "settings.state.next.", key, min, max));
}

static void
read_state_service(Check *validation, MmSettings *settings, const json_t *settings_table) {
  const json_t *section = table(validation, settings_table, "state", "settings.state");

  if (mm_json_get(section, "next") != NULL)
    table(validation, section, "next", "settings.state.next");
  settings->state_rps = state_limit(validation, section, "rps", 1, 1e9);
  settings->state_write_rps = state_limit(validation, section, "write_rps", 1, 1e9);
  settings->state_value_bytes
      = (guint)(state_limit(validation, section, "value_kb", 1, 1e6) * 1024);
  settings->state_txn_ops = (guint)state_limit(validation, section, "txn_ops", 2, 1e6);
}

static void
read_cloud(Check *validation, MmSettings *settings, const json_t *settings_table) {
  const json_t *section = table(validation, settings_table, "cloud", "settings.cloud");

  settings->cloud_rps = number(validation, section, "settings.cloud.", "rps", 0.01, 1e9);
  settings->cloud_list_lag_s
      = number(validation, section, "settings.cloud.", "list_lag_s", 0, 86400);
}

static void
read_resources(Check *validation, MmSettings *settings, const json_t *settings_table) {
  const json_t *section = mm_json_get(settings_table, "resources");

  settings->cpu_share = mm_json_number(section, "cpu", 1);
  settings->memory_mb = mm_json_number(section, "ram_mb", 512);
  settings->max_sockets = (guint)mm_json_number(section, "max_sockets", 1000);
  if (settings->cpu_share <= 0)
    complain(validation, "settings.resources.cpu", "must be above 0");
  if (settings->memory_mb < 1)
    complain(validation, "settings.resources.ram_mb", "must be at least 1");
  if (settings->max_sockets < 16)
    complain(validation, "settings.resources.max_sockets", "must be at least 16");
}

MmSettings *
mm_settings_from_json(const char *path, const void *data, char **reason) {
  const json_t *root = data;
  Check validation = { .path = path };
  MmSettings *settings = g_new0(MmSettings, 1);
  const json_t *external_table, *settings_table;

  settings->peers = g_array_new(FALSE, TRUE, sizeof(MmPeerSettings));
  g_array_set_clear_func(settings->peers, peer_clear);
  settings->teams = g_array_new(FALSE, TRUE, sizeof(MmTeamSettings));
  settings->aims = g_array_new(FALSE, TRUE, sizeof(MmAim));

  settings->label = mm_name(text(&validation, root, "", "label"));
  settings->zone = mm_name(text(&validation, root, "", "zone"));
  settings->front = address(&validation, root, "", "front");
  settings->cluster_listen = address(&validation, root, "", "cluster_listen");
  read_peers(&validation, settings, root);
  external_table = table(&validation, root, "external", "external");
  settings->cloud = address(&validation, external_table, "external.", "cloud");
  settings->state = address(&validation, external_table, "external.", "state");
  settings_table = table(&validation, root, "settings", "settings");
  settings->node_count = (guint)number(&validation, settings_table, "settings.", "count", 1, 1000);
  read_teams(&validation, settings, settings_table);
  read_aims(settings, settings_table);

  read_workers(&validation, settings, settings_table);
  read_state_service(&validation, settings, settings_table);
  read_cloud(&validation, settings, settings_table);
  read_resources(&validation, settings, settings_table);

  if (validation.reason != NULL) {
    *reason = validation.reason;
    mm_settings_free(settings);
    return NULL;
  }
  return settings;
}

MmSettings *
mm_settings_read(const char *path, char **reason) {
  char *toml_error = NULL;
  g_autoptr(json_t) root = mm_toml_read(path, &toml_error);
  MmSettings *settings = NULL;

  if (root == NULL)
    *reason = g_strdup_printf("%s: %s", path, toml_error);
  else
    settings = mm_settings_from_json(path, root, reason);
  free(toml_error);
  return settings;
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
  g_free(settings->front);
  g_free(settings->cluster_listen);
  g_free(settings->cloud);
  g_free(settings->state);
  g_array_unref(settings->peers);
  g_array_unref(settings->teams);
  g_array_unref(settings->aims);
  g_free(settings);
}

gint
mm_settings_team_index(const MmSettings *settings, const MmName *name) {
  for (guint i = 0; i < settings->teams->len; i++)
    if (mm_name_equal(&g_array_index(settings->teams, MmTeamSettings, i).name, name))
      return (gint)i;
  return -1;
}

const MmTeamSettings *
mm_settings_team(const MmSettings *settings, const MmName *name) {
  gint i = mm_settings_team_index(settings, name);

  return i >= 0 ? &g_array_index(settings->teams, MmTeamSettings, i) : NULL;
}

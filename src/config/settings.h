/* The platform's settings file (TOML), validated. Read once at the start; constant afterwards. */
#pragma once

#include <jansson.h>

#include "base/types.h"

typedef struct {
  MmName label;
  MmName zone;
  char *endpoint;
} MmPeerSettings;
/* Sets of peers are bit masks of 32 bits, see peers/. */
#define MM_PEERS_MAX 31

typedef struct {
  MmName name;
  MmResources quota; /* guaranteed; memory is 0: the settings know cores and accelerators only */
  MmResources limit; /* 0: no limit of that resource */
} MmTeamSettings;

/* Service-level objectives of classes of jobs. */
typedef enum {
  MM_OBJECTIVE_WAIT,
  MM_OBJECTIVE_FINISHED,
  MM_OBJECTIVE_DEADLINE,
  MM_OBJECTIVE_QUOTA,
  MM_OBJECTIVE_OTHER
} MmObjectiveKind;

typedef struct {
  MmObjectiveKind kind;
  MmName job_class;
  double within_s;
  double deadline_factor; /* times the deadline of the job */
} MmObjective;

typedef struct {
  MmName label;
  MmName zone;
  char *front_address;
  char *peer_listen_address;
  char *cloud_address;
  char *kv_address;
  GArray *peers;      /* MmPeerSettings; a peer's index here is its number everywhere */
  GArray *teams;      /* MmTeamSettings */
  GArray *objectives; /* MmObjective */
  guint node_count;   /* of all nodes, this one included */
  double heartbeat_interval_s;
  double worker_lease_s;
  /* Limits of the key-value store: the smaller of the present and of the announced ones. */
  double kv_requests_per_s;
  double kv_writes_per_s;
  guint kv_max_value_bytes;
  guint kv_max_operations;
  double cloud_requests_per_s;
  double cloud_list_delay_s; /* how late the cloud's list of machines may show a change */
  double cpu_share;          /* cores that this node may use */
  double memory_mb;
  guint max_sockets;
} MmSettings;

/* New settings; NULL with an error of MM_CONFIG_ERROR, whose message names file, field and what is
 * wrong. */
MmSettings *mm_settings_read(const char *path, GError **error);
/* The same of a file that has been read; `path` serves messages. */
MmSettings *mm_settings_from_json(const char *path, const json_t *root, GError **error);
/* Whether the label is this node's or a peer's. */
gboolean mm_settings_has_node(const MmSettings *settings, const char *label);
void mm_settings_free(MmSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmSettings, mm_settings_free)

#define MM_NO_TEAM (-1)

/* The team's index in `teams`, or MM_NO_TEAM. */
gint mm_settings_team_index(const MmSettings *settings, const MmName *name);
/* Lent; NULL: no such team. */
const MmTeamSettings *mm_settings_team(const MmSettings *settings, const MmName *name);

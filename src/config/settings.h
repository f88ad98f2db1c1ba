/* What the platform's settings file says, checked. */
#pragma once

#include "base/types.h"

typedef struct {
  MmName label;
  MmName zone;
  char *endpoint;
} MmPeerSettings;
/* Sets of peers are kept as bits. */
#define MM_PEERS_MAX 31

typedef struct {
  MmName name;
  MmResources quota; /* memory is never set: the settings speak of cores and accelerators */
  MmResources limit; /* 0: none */
} MmTeamSettings;

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
  double deadline_factor; /* of a deadline */
  double required_share;
} MmObjective;

typedef struct {
  MmName label;
  MmName zone;
  char *front_address;
  char *peer_listen_address;
  char *cloud_address;
  char *kv_address;
  GArray *peers;      /* MmPeerSettings */
  GArray *teams;      /* MmTeamSettings */
  GArray *objectives; /* MmObjective */
  guint node_count;
  double heartbeat_interval_s;
  double worker_lease_s;
  double gang_wait_s;
  double gang_peer_s;
  double cancel_s;
  /* Limits of the state service: the smaller of those that hold and those that are announced. */
  double kv_requests_per_s;
  double kv_writes_per_s;
  guint kv_max_value_bytes;
  guint kv_max_operations;
  double cloud_requests_per_s;
  double cloud_list_delay_s;
  double cpu_share;
  double memory_mb;
  guint max_sockets;
} MmSettings;

/* NULL with a one-line reason naming file, field and what is wrong. */
MmSettings *mm_settings_read(const char *path, char **reason);
MmSettings *mm_settings_from_json(const char *path, const void *data, char **reason);
/* Whether the label is this node's or one of the others'. */
gboolean mm_settings_has_node(const MmSettings *settings, const char *label);
void mm_settings_free(MmSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmSettings, mm_settings_free)

/* -1: no such team. */
gint mm_settings_team_index(const MmSettings *settings, const MmName *name);
const MmTeamSettings *mm_settings_team(const MmSettings *settings, const MmName *name);

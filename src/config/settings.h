/* The validated contents of the platform's settings file (TOML). The file is read once at start-up;
 * the settings are constant afterwards. */
#pragma once

#include "base/json.h"

#include "base/types.h"

typedef struct {
  MmName label;
  MmName zone;
  char *endpoint;
} MmPeerSettings;
/* The maximum number of peers. With this maximum a set of peers fits into a 32-bit mask. */
#define MM_PEERS_MAX 31

typedef struct {
  MmName name;
  /* Guaranteed resources. memory_gb is 0: the settings have no quota for memory. */
  MmResources quota;
  /* Maximum resources. 0 means that the resource is not limited. */
  MmResources limit;
} MmTeamSettings;

/* Kinds of service-level objectives (SLOs). */
typedef enum {
  MM_OBJECTIVE_WAIT,     /* the last task starts within `within_s` */
  MM_OBJECTIVE_FINISHED, /* the job finishes within `within_s` */
  MM_OBJECTIVE_DEADLINE, /* the job finishes within its own deadline times `deadline_factor` */
  MM_OBJECTIVE_QUOTA,    /* like MM_OBJECTIVE_WAIT, only for jobs within their team's quota */
  MM_OBJECTIVE_OTHER     /* unknown kind, ignored */
} MmObjectiveKind;

/* A service-level objective for a class of jobs. */
typedef struct {
  MmObjectiveKind kind;
  MmName job_class;
  double within_s;
  double deadline_factor; /* multiplies the job's deadline */
} MmObjective;

typedef struct {
  MmName label;
  MmName zone;
  char *http_listen_address;
  char *peer_listen_address;
  char *cloud_address;
  char *kv_address;
  GArray *peers;      /* MmPeerSettings; other modules identify a peer by its index here */
  GArray *teams;      /* MmTeamSettings */
  GArray *objectives; /* MmObjective */
  guint node_count;   /* all nodes, including this one */
  double heartbeat_interval_s;
  double worker_lease_s;
  /* Limits of the key-value store: the smaller of the current and the announced limit. */
  double kv_requests_per_s;
  double kv_writes_per_s;
  guint kv_max_value_bytes;
  guint kv_max_operations;
  double cloud_requests_per_s;
  double cloud_list_delay_s; /* maximum delay until the cloud's list of machines shows a change */
  double cpu_share;          /* CPU cores that this node may use */
  double memory_mb;
  guint max_sockets;
} MmSettings;

/* Reads and validates the file. Returns new settings, or NULL with an error in the MM_CONFIG_ERROR
 * domain. The error message gives the file, the field or line, and the problem. */
MmSettings *mm_settings_read(const char *path, GError **error);
/* Like mm_settings_read, but takes the contents of the file from `root`. `path` is only used in
 * error messages. */
MmSettings *mm_settings_from_json(const char *path, const MmJson *root, GError **error);
/* Returns a share, from 0 to 1, of the node's memory in bytes. */
gsize mm_settings_memory_bytes(const MmSettings *settings, double share);
/* Returns whether this node or one of its peers has the label. */
gboolean mm_settings_has_node(const MmSettings *settings, const char *label);
void mm_settings_free(MmSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmSettings, mm_settings_free)

/* The result of mm_settings_team_index for an unknown team. */
#define MM_NO_TEAM (-1)

/* Returns the team's index in MmSettings.teams, or MM_NO_TEAM. */
gint mm_settings_team_index(const MmSettings *settings, const MmName *name);
/* Returns the team's settings, owned by `settings`, or NULL if there is no such team. */
const MmTeamSettings *mm_settings_team(const MmSettings *settings, const MmName *name);

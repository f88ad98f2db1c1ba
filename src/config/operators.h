/* The operators' settings: an optional XML file. Its root element <martenmount> has one child
 * element for each setting and one <group-weight> for each node to which the operators give a
 * weight.
 *
 * The file is read once at start-up; the settings are constant afterwards. All numbers, including
 * counts and on/off switches, are stored as doubles. mm_operator_settings maps the XML elements to
 * the fields of MmOperators; docs/operators.md documents the elements. */
#pragma once

#include "base/types.h"
#include "config/settings.h"

/* The maximum number of nodes: MM_PEERS_MAX peers and this node. */
#define MM_NODE_WEIGHTS_MAX 32

/* The maximum number of machine groups. A set of groups is stored as a list of ranges. The list is
 * longest when the set contains every second group. With 512 groups the longest list fits into a
 * value of 2 KiB, which every key-value store is expected to accept. */
#define MM_GROUPS_MAX 512

/* A node's share of the machine groups relative to the other nodes. Nodes that are not listed have
 * weight 1. */
typedef struct {
  MmName node;
  double weight;
} MmNodeWeight;

/* The operators' settings. Durations are in seconds unless the name says otherwise. */
typedef struct {
  /* TTL of a node's lease in the key-value store. */
  double lease_ttl_s;
  /* At most half of lease_ttl_s. */
  double lease_renew_interval_s;
  /* Time between two pings to the same peer. */
  double peer_ping_interval_s;
  /* A task that has waited longer than this has precedence on any machine that it fits. */
  double wait_bound_s;
  /* Maximum time for which this node delays its response to a worker while it waits for start
   * responses of shard leaders. */
  double start_request_timeout_ms;
  /* Maximum number of start commands in one response to a worker. */
  double max_starts_per_response;
  /* Candidate tasks in one start request to a shard leader. */
  double candidates_per_request;
  /* A machine that has had no tasks for this long is released. */
  double idle_release_s;
  /* A machine in the cloud's list is released when it has been silent for this long. With 0, a
   * machine is released when its heartbeat is overdue and status requests to it get no response. */
  double silent_release_s;
  /* Multiplies the nominal boot time. A machine that is still booting after the resulting time
   * counts as failed and is released. */
  double boot_timeout_factor;
  /* How long urgent tasks wait for free resources before they may preempt other tasks. */
  double preempt_after_s;
  /* A job of which no task has started for longer than this has precedence over all other jobs. */
  double starved_after_s;
  /* 1: machines are requested when tasks are pending; 0: machines are never requested. */
  double may_scale_out;
  /* Number of machine groups that are divided among the nodes. 0: there are no groups. */
  double group_count;
  /* A group is not moved again until its owner has owned it for this long, unless an operator moves
   * the group. */
  double group_min_stay_s;
  /* Maximum number of group moves in progress at the same time. */
  double max_group_moves;
  MmNodeWeight group_weights[MM_NODE_WEIGHTS_MAX];
  guint n_group_weights;
} MmOperators;

/* Describes a setting: its XML element, documentation, default and bounds. */
typedef struct {
  const char *name; /* name of the XML element, with underscores in place of dashes */
  const char *unit;
  const char *meaning;
  gsize offset; /* offset of the field, a double, in MmOperators */
  double default_value;
  double min;
  double max;
} MmOperatorSetting;

/* All settings that consist of a single number. The last entry has a NULL name. */
extern const MmOperatorSetting mm_operator_settings[];

/* Returns the default values, without group weights. */
MmOperators mm_operators_defaults(void);
/* Overwrites the settings that the XML document contains and keeps the other settings. `path` is
 * only used in error messages. `length` is in bytes, or -1 if `xml` is NUL-terminated. If the
 * document is invalid, returns FALSE with an error in the MM_CONFIG_ERROR domain. The error message
 * gives the file, the line and the setting; for a contradiction between settings it gives no line.
 */
gboolean mm_operators_parse(MmOperators *operators, const char *path, const char *xml,
                            gssize length, GError **error);
/* Checks the operators' settings against the platform's settings. The number of groups must be
 * whole. Each weight must name a node that the settings file lists. At least one node must have a
 * weight above 0. Returns FALSE with an error in the MM_CONFIG_ERROR domain if a check fails. */
gboolean mm_operators_check_against_settings(const MmOperators *operators,
                                             const MmSettings *settings, const char *path,
                                             GError **error);
/* Returns the weight of the node, or 1 if no weight is configured for the node. */
double mm_operators_group_weight(const MmOperators *operators, const char *node);
/* Reads the file and calls mm_operators_parse on its contents. Returns FALSE with an error in the
 * MM_CONFIG_ERROR domain if the file cannot be read or is invalid. */
gboolean mm_operators_read(MmOperators *operators, const char *path, GError **error);

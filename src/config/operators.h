/* The operators' settings: an optional XML file, `<martenmount>` with one element a setting.
 *
 * Read once at the start; constant afterwards. Numbers are doubles, also counts and switches. The
 * elements keep their names, see mm_operator_settings; docs/operators.md lists them. */
#pragma once

#include "base/types.h"
#include "config/settings.h"

/* As many as there may be nodes: the peers and this one. */
#define MM_NODE_WEIGHTS_MAX 32

/* The most machine groups. Values of the key-value store hold at least 2 KiB, enough for a list of
 * every other one of so many groups. */
#define MM_GROUPS_MAX 512

/* A node's share of the machine groups, relative to that of others; 1 for nodes not listed. */
typedef struct {
  MmName node;
  double weight;
} MmNodeWeight;

typedef struct {
  double lease_ttl_s;            /* time to live of a node's lease in the key-value store */
  double lease_renew_interval_s; /* at most half of the former */
  double peer_ping_interval_s;   /* between pings to each peer */
  double wait_bound_s; /* a task that waited longer has precedence on any fitting machine */
  double start_request_timeout_ms; /* how long a response to a worker waits for shard leaders */
  double max_starts_per_response;  /* starts in one response to a worker */
  double candidates_per_request;   /* candidate tasks in one start request to a shard leader */
  double idle_release_s;           /* a machine without tasks for this long is released */
  double silent_release_s; /* a listed machine silent for this long is released; 0: by its lease */
  double boot_timeout_factor; /* times the nominal boot time, after which a boot has failed */
  double preempt_after_s;     /* how long urgent tasks wait for resources before they may preempt */
  double starved_after_s;     /* a job that waited longer with no task started has precedence */
  double may_scale_out;       /* 1: request machines when tasks are pending; 0: never */
  double group_count;         /* machine groups, divided among the nodes; 0: none */
  double group_min_stay_s;    /* a group that moved stays for this long, unless moved by hand */
  double max_group_moves;     /* moves of groups under way at once */
  MmNodeWeight group_weights[MM_NODE_WEIGHTS_MAX];
  guint n_group_weights;
} MmOperators;

/* One setting: its element, documentation and bounds. */
typedef struct {
  const char *name; /* of the element, with underscores for dashes */
  const char *unit;
  const char *meaning;
  gsize offset; /* of the double in MmOperators */
  double default_value;
  double min;
  double max;
} MmOperatorSetting;

/* All settings with a number; ends with a NULL name. */
extern const MmOperatorSetting mm_operator_settings[];

MmOperators mm_operators_defaults(void);
/* Reads the XML over the values that are there; `path` serves messages. FALSE with an error of
 * MM_CONFIG_ERROR, whose message names file, line and setting. */
gboolean mm_operators_parse(MmOperators *operators, const char *path, const char *xml,
                            gssize length, GError **error);
/* Whether the groups and the nodes named fit the platform's settings; FALSE with an error. */
gboolean mm_operators_check_against_settings(const MmOperators *operators,
                                             const MmSettings *settings, const char *path,
                                             GError **error);
/* The node's weight, see MmNodeWeight. */
double mm_operators_group_weight(const MmOperators *operators, const char *node);
/* mm_operators_parse of a file. */
gboolean mm_operators_read(MmOperators *operators, const char *path, GError **error);

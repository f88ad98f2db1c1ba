/* The operators' own settings: an optional XML file, `<martenmount>` with one element a setting. */
#pragma once

#include "base/types.h"
#include "config/settings.h"

/* As many as there may be nodes. */
#define MM_NODE_WEIGHTS_MAX 32

/* The most machine groups that the fleet may be divided into. Values of the key-value store hold at
 * least 2 KiB: every other one of so many groups fits. */
#define MM_GROUPS_MAX 512

/* How large a share of the machine groups one node gets; 1 where nothing is said. */
typedef struct {
  MmName node;
  double weight;
} MmNodeWeight;

typedef struct {
  double lease_ttl_s;              /* how long a node's claim lasts without renewal */
  double lease_renew_interval_s;   /* how often it is renewed */
  double peer_ping_interval_s;     /* how often peers are asked whether they still answer */
  double wait_bound_s;             /* a task that waited longer goes first to any fitting machine */
  double start_request_timeout_ms; /* how long a worker's answer waits for an owner's approval */
  double max_starts_per_response;  /* most starts in one answer to a worker */
  double candidates_per_request;   /* candidates sent in one request */
  double idle_release_s;           /* a machine without tasks this long is returned */
  double silent_release_s;    /* a listed machine this long silent is returned (0: by its lease) */
  double boot_timeout_factor; /* times the nominal boot time until a machine counts as stuck */
  double preempt_after_s;     /* how long urgent work waits for room before it may preempt */
  double starved_after_s;  /* a job that waited longer with nothing begun goes before all others */
  double may_scale_out;    /* 1: rent machines when work waits, 0: never */
  double group_count;      /* machine groups that nodes share out among them; 0: none */
  double group_min_stay_s; /* a group that moved stays for this long, if no one asks by hand */
  double max_group_moves;  /* moves under way at once */
  MmNodeWeight group_weights[MM_NODE_WEIGHTS_MAX];
  guint n_group_weights;
} MmOperators;

typedef struct {
  const char *name;
  const char *unit;
  const char *meaning;
  gsize offset;
  double default_value;
  double min;
  double max;
} MmOperatorSetting;

extern const MmOperatorSetting mm_operator_settings[];

MmOperators mm_operators_defaults(void);
/* FALSE with a one-line reason naming file, line and setting. */
gboolean mm_operators_parse(MmOperators *operators, const char *path, const char *xml,
                            gssize length, char **reason);
/* Whether what is said of nodes fits the platform's settings; FALSE with a one-line reason. */
gboolean mm_operators_check_against_settings(const MmOperators *operators,
                                             const MmSettings *settings, const char *path,
                                             char **reason);
double mm_operators_group_weight(const MmOperators *operators, const char *node);
gboolean mm_operators_read(MmOperators *operators, const char *path, char **reason);

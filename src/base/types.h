/* Types for ids, versions, times and resources. Each type is a separate struct, because the
 * compiler then rejects a value of one type where another type is expected. */
#pragma once

#include <glib.h>
#include <string.h>

/* A point in monotonic time, in microseconds. 0 stands for "never". */
typedef struct {
  gint64 us;
} MmTime;

/* The global term. Workers receive the term as the fencing token and reject commands of an older
 * term. */
typedef struct {
  guint64 v;
} MmTerm;

/* A revision of the key-value store: the store's current revision, or the revision of the last
 * change of a key. 0 stands for "none". */
typedef struct {
  guint64 v;
} MmKeyVersion;

/* Identifies one attempt to run a task. The high bits hold the term, the low bits a serial number.
 */
typedef struct {
  guint64 v;
} MmAttempt;

/* Identifies a worker's heartbeat. Heartbeats are ordered by the incarnation of the worker's agent,
 * then by sequence number. */
typedef struct {
  guint64 incarnation;
  guint64 sequence;
} MmHeartbeatId;

/* The id of a job, machine, node, team, zone, image or machine type. Ids of more than MM_NAME_MAX
 * bytes are truncated. */
#define MM_NAME_MAX 63
typedef struct {
  char s[MM_NAME_MAX + 1];
} MmName;

static inline MmName
mm_name(const char *s) {
  MmName n = { { 0 } };
  if (s != NULL)
    g_strlcpy(n.s, s, sizeof n.s);
  return n;
}

static inline gboolean
mm_name_equal(const MmName *a, const MmName *b) {
  return strcmp(a->s, b->s) == 0;
}

static inline gboolean
mm_name_is_empty(const MmName *a) {
  return a->s[0] == '\0';
}

static inline MmTime
mm_time_add_ms(MmTime t, gint64 ms) {
  return (MmTime){ t.us + ms * 1000 };
}

static inline gint64
mm_time_ms_since(MmTime now, MmTime then) {
  return (now.us - then.us) / 1000;
}

static inline gboolean
mm_time_before(MmTime a, MmTime b) {
  return a.us < b.us;
}

static inline MmTime
mm_time_max(MmTime a, MmTime b) {
  return a.us > b.us ? a : b;
}

static inline MmTime
mm_time_min(MmTime a, MmTime b) {
  return a.us < b.us ? a : b;
}

static inline gboolean
mm_heartbeat_id_is_newer(MmHeartbeatId a, MmHeartbeatId b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.sequence > b.sequence;
}

/* The resources of a machine, or the resources that a task requires. */
typedef struct {
  double cores;
  double accelerators;
  double memory_gb;
  /* How many tasks a machine may have, see machines/task-slots.h. A task requires one slot. Not
   * used in quotas and limits of teams. */
  double slots;
} MmResources;

/* Tolerance for rounding errors in sums of fractional resources. */
#define MM_RESOURCES_SLACK 1e-6

static inline gboolean
mm_resources_fits(MmResources need, MmResources have) {
  return need.cores <= have.cores + MM_RESOURCES_SLACK
         && need.accelerators <= have.accelerators + MM_RESOURCES_SLACK
         && need.memory_gb <= have.memory_gb + MM_RESOURCES_SLACK
         && need.slots <= have.slots + MM_RESOURCES_SLACK;
}

/* Returns `n` times the resources. */
static inline MmResources
mm_resources_times(MmResources a, guint n) {
  return (MmResources){ n * a.cores, n * a.accelerators, n * a.memory_gb, n * a.slots };
}

/* Returns the element-wise minimum. */
static inline MmResources
mm_resources_min(MmResources a, MmResources b) {
  return (MmResources){ MIN(a.cores, b.cores), MIN(a.accelerators, b.accelerators),
                        MIN(a.memory_gb, b.memory_gb), MIN(a.slots, b.slots) };
}

static inline MmResources
mm_resources_add(MmResources a, MmResources b) {
  return (MmResources){ a.cores + b.cores, a.accelerators + b.accelerators,
                        a.memory_gb + b.memory_gb, a.slots + b.slots };
}

static inline MmResources
mm_resources_sub(MmResources a, MmResources b) {
  return (MmResources){ a.cores - b.cores, a.accelerators - b.accelerators,
                        a.memory_gb - b.memory_gb, a.slots - b.slots };
}

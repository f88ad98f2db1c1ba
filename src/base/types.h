/* Types for ids, versions, times and resources. Each is a struct of its own, so that the compiler
 * keeps them apart. */
#pragma once

#include <glib.h>
#include <string.h>

/* An instant of steady time, in microseconds. 0: never. */
typedef struct {
  gint64 us;
} MmTime;

/* The global term, sent to workers as fencing token: a command of an older term is not accepted. */
typedef struct {
  guint64 v;
} MmTerm;

/* A revision of the key-value store: of the whole, or of the last change of a key. 0: none. */
typedef struct {
  guint64 v;
} MmKeyVersion;

/* One attempt at running a task: the term in the high bits, a serial number in the low ones. */
typedef struct {
  guint64 v;
} MmAttempt;

/* The order of a worker's heartbeats: by its agent's incarnation, then by number. */
typedef struct {
  guint64 incarnation;
  guint64 sequence;
} MmHeartbeatId;

/* An id of a job, machine, node, team, zone, image or machine type; longer ones are cut. */
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

/* A machine's resources, or those that a task needs. */
typedef struct {
  double cores;
  double accelerators;
  double memory_gb;
} MmResources;

/* Tolerance for sums of fractions. */
#define MM_RESOURCES_SLACK 1e-6

static inline gboolean
mm_resources_fits(MmResources need, MmResources have) {
  return need.cores <= have.cores + MM_RESOURCES_SLACK
         && need.accelerators <= have.accelerators + MM_RESOURCES_SLACK
         && need.memory_gb <= have.memory_gb + MM_RESOURCES_SLACK;
}

/* The smaller of each. */
static inline MmResources
mm_resources_least(MmResources a, MmResources b) {
  return (MmResources){ MIN(a.cores, b.cores), MIN(a.accelerators, b.accelerators),
                        MIN(a.memory_gb, b.memory_gb) };
}

static inline MmResources
mm_resources_add(MmResources a, MmResources b) {
  return (MmResources){ a.cores + b.cores, a.accelerators + b.accelerators,
                        a.memory_gb + b.memory_gb };
}

static inline MmResources
mm_resources_sub(MmResources a, MmResources b) {
  return (MmResources){ a.cores - b.cores, a.accelerators - b.accelerators,
                        a.memory_gb - b.memory_gb };
}

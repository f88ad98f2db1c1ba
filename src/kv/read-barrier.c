#include "kv/read-barrier.h"

#include "base/json.h"
#include "base/wire.h"
#include "kv/kv-client.h"
#include "kv/replica.h"

/* The fraction of the key-value store's request rate that one node may use to read the revision. */
#define REVISION_READ_RATE_SHARE 0.05
#define WAIT_TIMEOUT_MS 1500
#define MAX_WAITERS 512

/* Value of Waiter.revision_read until a revision read is sent on behalf of the waiter. */
#define NO_REVISION_READ 0
/* Value of Waiter.required_revision until the revision read sent on behalf of the waiter is
 * answered. */
#define REVISION_UNKNOWN 0

typedef struct {
  MmCurrentCallback on_current;
  gpointer data;
  MmTime deadline;
  guint64 revision_read;     /* serial number of the revision read that yields required_revision */
  guint64 required_revision; /* revision that the replica must reach */
} Waiter;

struct MmReadBarrier {
  MmReplica *replica;
  GQueue *waiters;          /* of Waiter, oldest first */
  guint64 n_revision_reads; /* number of revision reads sent; serial number of the latest */
  gboolean is_reading_revision;
  MmTime next_revision_read_at;
};

MmReadBarrier *
mm_read_barrier_new(MmReplica *replica) {
  MmReadBarrier *barrier = g_new0(MmReadBarrier, 1);

  barrier->replica = replica;
  barrier->waiters = g_queue_new();
  return barrier;
}

void
mm_read_barrier_free(MmReadBarrier *barrier) {
  Waiter *waiter;

  while ((waiter = g_queue_pop_head(barrier->waiters)) != NULL) {
    waiter->on_current(waiter->data, FALSE);
    g_free(waiter);
  }
  g_queue_free(barrier->waiters);
  g_free(barrier);
}

static void
finish_waiter(MmReadBarrier *barrier, GList *link, gboolean is_current) {
  Waiter *waiter = link->data;

  g_queue_delete_link(barrier->waiters, link);
  waiter->on_current(waiter->data, is_current);
  g_free(waiter);
}

static void
finish_due_waiters(MmReadBarrier *barrier) {
  MmTime now = mm_platform_now(barrier->replica->platform);
  GList *next;

  for (GList *link = barrier->waiters->head; link != NULL; link = next) {
    const Waiter *waiter = link->data;
    next = link->next;
    if (waiter->required_revision != REVISION_UNKNOWN
        && waiter->required_revision <= barrier->replica->revision && barrier->replica->is_loaded)
      finish_waiter(barrier, link, TRUE);
    else if (!mm_time_before(now, waiter->deadline))
      finish_waiter(barrier, link, FALSE);
  }
}

static void
on_revision_read(gpointer data, int status, MmJson *body) {
  MmReadBarrier *barrier = data;
  guint64 revision = mm_json_count(body, WIRE_REVISION, 0);
  GList *next;

  barrier->is_reading_revision = FALSE;
  for (GList *link = barrier->waiters->head; link != NULL; link = next) {
    Waiter *waiter = link->data;
    next = link->next;
    if (waiter->revision_read != barrier->n_revision_reads
        || waiter->required_revision != REVISION_UNKNOWN)
      continue;
    if (status == 404 && revision != 0)
      waiter->required_revision = revision;
    else if (status == 429)
      waiter->revision_read = NO_REVISION_READ; /* status 429: try again with the next read */
    else
      finish_waiter(barrier, link, FALSE);
  }
  finish_due_waiters(barrier);
}

static void
start_revision_read(MmReadBarrier *barrier) {
  MmTime now = mm_platform_now(barrier->replica->platform);
  gint64 interval_ms
      = (gint64)(1000 / (barrier->replica->settings->kv_requests_per_s * REVISION_READ_RATE_SHARE));
  gboolean has_waiters = FALSE;

  if (barrier->is_reading_revision || mm_time_before(now, barrier->next_revision_read_at))
    return;
  for (GList *link = barrier->waiters->head; link != NULL; link = link->next) {
    Waiter *waiter = link->data;
    if (waiter->revision_read != NO_REVISION_READ)
      continue;
    waiter->revision_read = barrier->n_revision_reads + 1; /* the read started below */
    has_waiters = TRUE;
  }
  if (!has_waiters)
    return;
  barrier->n_revision_reads++;
  barrier->is_reading_revision = TRUE;
  barrier->next_revision_read_at = mm_time_add_ms(now, interval_ms);
  /* Reads a key that is never written. The response is a 404, and it carries the store's
   * revision. */
  mm_kv_client_get(barrier->replica->kv, MM_KEY_NEVER_WRITTEN, "", on_revision_read, barrier);
}

void
mm_read_barrier_wait(MmReadBarrier *barrier, MmCurrentCallback on_current, gpointer data) {
  Waiter *waiter;

  if (g_queue_get_length(barrier->waiters) >= MAX_WAITERS || !barrier->replica->is_loaded) {
    on_current(data, FALSE);
    return;
  }
  waiter = g_new0(Waiter, 1);
  waiter->on_current = on_current;
  waiter->data = data;
  waiter->deadline = mm_time_add_ms(mm_platform_now(barrier->replica->platform), WAIT_TIMEOUT_MS);
  g_queue_push_tail(barrier->waiters, waiter);
  start_revision_read(barrier);
}

void
mm_read_barrier_tick(MmReadBarrier *barrier) {
  if (g_queue_is_empty(barrier->waiters))
    return;
  start_revision_read(barrier);
  finish_due_waiters(barrier);
}

void
mm_read_barrier_replica_advanced(MmReadBarrier *barrier) {
  finish_due_waiters(barrier);
}

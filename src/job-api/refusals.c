#include "job-api/refusals.h"

#include "base/log.h"

/* At most so many lines are logged in an interval, so that a flood of malformed requests does not
 * fill the log. */
#define LOG_LINES_PER_INTERVAL 20
#define LOG_INTERVAL_MS 1000

static const char *const names[]
    = { "not_json", "invalid_field", "too_long", "never_runs" }; /* by MmRefusal */
G_STATIC_ASSERT(G_N_ELEMENTS(names) == MM_N_REFUSALS);

int
mm_refusal_status(MmRefusal refusal) {
  return refusal == MM_REFUSAL_NEVER_RUNS ? 422 : 400;
}

/* Counts a log line. Returns FALSE if there is no line left in the current interval. */
static gboolean
may_log(MmRefusals *refusals, MmTime now) {
  if (refusals->interval_began_at.us == 0
      || mm_time_ms_since(now, refusals->interval_began_at) >= LOG_INTERVAL_MS) {
    refusals->interval_began_at = now;
    refusals->n_logged_in_interval = 0;
  }
  if (refusals->n_logged_in_interval >= LOG_LINES_PER_INTERVAL)
    return FALSE;
  refusals->n_logged_in_interval++;
  return TRUE;
}

void
mm_refusals_record(MmRefusals *refusals, MmTime now, MmRefusal refusal, const char *job_id,
                   const char *reason) {
  refusals->counts[refusal]++;
  if (!may_log(refusals, now)) {
    refusals->n_not_logged++;
    return;
  }
  mm_info("submission refused job=%s status=%d reason=%s detail=\"%s\" "
          "refused_for_reason=%" G_GUINT64_FORMAT " not_logged=%" G_GUINT64_FORMAT,
          job_id != NULL ? job_id : "unknown", mm_refusal_status(refusal), names[refusal], reason,
          refusals->counts[refusal], refusals->n_not_logged);
  refusals->n_not_logged = 0;
}

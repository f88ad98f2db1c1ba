/* Checks the history of a run: what users were answered, and what truly ran on the machines. It
 * shares no code with the scheduler, nor with the simulated machines and users. */
#pragma once

#include <glib.h>

typedef enum {
  HISTORY_ACCEPTED,  /* a user was answered that the job is accepted, */
  HISTORY_DONE,      /* that it is done, */
  HISTORY_CANCELLED, /* that it is cancelled */
  HISTORY_START,     /* a task is on a machine from now on */
  HISTORY_END,       /* no longer; `completed` says whether it had finished */
  HISTORY_REFUSED    /* a machine had no resources for a start */
} HistoryKind;

typedef struct {
  gint64 us;
  HistoryKind kind;
  char job[32];
  guint tasks; /* of an accepted job: how many it has; 0: it runs until it is cancelled */
  guint task;
  char machine[32];
  double cores;    /* that the task takes, */
  double capacity; /* and that the machine has */
  gboolean completed;
} HistoryEvent;

typedef struct {
  double cancel_s; /* tasks have ended so long after the cancellation was confirmed */
} HistoryRules;

/* `events` (HistoryEvent) in the order in which they happened. Returns what was wrong, as text; the
 * array is empty when all was right. Free with g_ptr_array_unref(). */
GPtrArray *history_check(const GArray *events, const HistoryRules *rules);
/* A line of JSON. Free with g_free. */
char *history_event_to_line(const HistoryEvent *event);
/* FALSE when the line is malformed. */
gboolean history_event_from_line(HistoryEvent *event, const char *line);

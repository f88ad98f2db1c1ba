/* Checks the recorded history of a run: compares the responses that users received with the tasks
 * that actually ran on the machines. The checker is independent: it shares no code with the
 * scheduler, the simulated machines or the simulated users. */
#pragma once

#include <glib.h>

typedef enum {
  HISTORY_ACCEPTED,  /* a response to a user reported the job as accepted */
  HISTORY_DONE,      /* a response to a user reported the job as done */
  HISTORY_CANCELLED, /* a response to a user reported the job as cancelled */
  HISTORY_START,     /* a task starts on a machine */
  HISTORY_END,       /* a task ends on a machine; `completed` tells whether it finished */
  HISTORY_REFUSED    /* a machine rejected a start for lack of resources */
} HistoryKind;

typedef struct {
  gint64 time_us;
  HistoryKind kind;
  char job[32];
  guint tasks; /* HISTORY_ACCEPTED: number of tasks; 0: a service, which runs until cancelled */
  guint task;
  char machine[32];
  double cores;    /* cores that the task uses */
  double capacity; /* cores of the machine */
  gboolean completed;
} HistoryEvent;

typedef struct {
  double cancel_s; /* all tasks of a job end within this time of its confirmed cancellation */
} HistoryRules;

/* Checks `events` (HistoryEvent), which are in chronological order. Returns a description (char *)
 * of each violation; the array is empty when there is none. Free with g_ptr_array_unref(). */
GPtrArray *history_check(const GArray *events, const HistoryRules *rules);
/* Returns the event as one line of JSON. Free with g_free(). */
char *history_event_to_line(const HistoryEvent *event);
/* Parses a line of history_event_to_line(). Returns FALSE when it is malformed. */
gboolean history_event_from_line(HistoryEvent *event, const char *line);

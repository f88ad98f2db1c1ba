/* The nodes as processes of their own, which can be killed, paused and continued. */
#pragma once

#include "world/world.h"

typedef struct {
  char *folder;                /* of settings and logs */
  char *programs[WORLD_NODES]; /* the binary that each node runs from its next start on */
  char *operators;             /* their file; NULL: none */
  char *settings[WORLD_NODES];
  char *fronts[WORLD_NODES + 1];
  GPid pids[WORLD_NODES];      /* 0: it is down */
  guint pauses[WORLD_NODES];   /* the timer that continues it; 0: it runs */
  guint restarts[WORLD_NODES]; /* the timer that starts it; 0: none */
  guint ends;                  /* of processes that were not killed on purpose */
  guint alive;                 /* processes that have not been waited for */
} Processes;

/* Chooses ports and a folder; all nodes run the program. */
Processes *processes_new(const char *program);
/* From its next start on the node runs this program. */
void processes_set_program(Processes *processes, guint index, const char *program);
/* Writes the settings of nodes n-0, n-1, ... with this address of the key-value store and the
 * cloud. */
void processes_write_settings(Processes *processes, World *world, const char *outside,
                              const char *operators_xml);
void processes_start(Processes *processes, guint index);
/* Kills the node; it is started again after so long. */
void processes_kill(Processes *processes, guint index, guint down_ms);
void processes_pause(Processes *processes, guint index, guint ms);
/* Continues all that are paused. */
void processes_continue_all(Processes *processes);
/* Kills all for good. */
void processes_stop(Processes *processes);
/* After they were stopped; removes the folder. */
void processes_free(Processes *processes);

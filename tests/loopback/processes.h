/* Runs each node as a separate process that can be killed, paused and resumed. */
#pragma once

#include "world/world.h"

typedef struct {
  char *folder;                /* temporary folder with the settings and operators files */
  char *programs[WORLD_NODES]; /* binary that each node runs from its next start on */
  char *operators_path;        /* path of the operators file; NULL: none */
  char *settings_paths[WORLD_NODES];
  char *http_addresses[WORLD_NODES + 1];
  GPid pids[WORLD_NODES];            /* 0: the node is down */
  guint resume_timers[WORLD_NODES];  /* GSource id of the resume timer; 0: not paused */
  guint restart_timers[WORLD_NODES]; /* GSource id of the restart timer; 0: none */
  guint n_unexpected_exits;          /* exits of nodes that were not killed by this module */
  guint n_unreaped;                  /* child processes that have not been reaped yet */
} Processes;

/* Creates a temporary folder and chooses the ports that users connect to. All nodes run `program`.
 * Free with processes_free(). */
Processes *processes_new(const char *program);
/* Sets the binary that the node runs from its next start on. */
void processes_set_program(Processes *processes, guint index, const char *program);
/* Writes the settings files of nodes n-0, n-1, ... and, unless `operators_xml` is NULL, the
 * operators file. `external_address` ("HOST:PORT") is the address of both the key-value store and
 * the cloud. */
void processes_write_settings(Processes *processes, World *world, const char *external_address,
                              const char *operators_xml);
/* Starts the node. Aborts the test when the process cannot be spawned. */
void processes_start(Processes *processes, guint index);
/* Kills the node, waits until it has exited, and starts it again after `down_ms`. Does nothing when
 * the node is down or paused. */
void processes_kill(Processes *processes, guint index, guint down_ms);
/* Stops the node with SIGSTOP and resumes it after `ms`. Does nothing when the node is down or
 * already paused. */
void processes_pause(Processes *processes, guint index, guint ms);
/* Resumes all paused nodes. */
void processes_continue_all(Processes *processes);
/* Kills all nodes, does not restart them, and returns when all have been reaped. */
void processes_stop(Processes *processes);
/* Frees the processes and removes the folder. Call processes_stop() first. */
void processes_free(Processes *processes);

#include "processes.h"

#include <errno.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

static const char *const zones[] = { "a", "b", "c" };

/* The nodes' ports lie below the system's range of ephemeral ports. Otherwise, while a node is
 * down, an outgoing connection of this test or of another program could take the node's port. */
#define PORT_MIN 20000
#define PORT_MAX 32000
/* Concurrent test runs start their search for ports at different offsets. */
#define PORTS_PER_RUN 16

static gboolean
is_port_free(guint port) {
  g_autoptr(GSocket) socket
      = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr(GSocketAddress) address = g_inet_socket_address_new_from_string("127.0.0.1", port);

  return g_socket_bind(socket, address, TRUE, NULL);
}

/* Returns a port of the loopback address that is free at the time of the call. Returns each port at
 * most once per run, unless the range wraps around. */
static guint
find_free_port(void) {
  static guint next;

  if (next == 0)
    next = PORT_MIN + (guint)getpid() * PORTS_PER_RUN % (PORT_MAX - PORT_MIN);
  for (guint tried = PORT_MIN; tried < PORT_MAX; tried++) {
    guint port = next;
    next = next + 1 < PORT_MAX ? next + 1 : PORT_MIN;
    if (is_port_free(port))
      return port;
  }
  g_error("no port of the loopback address is free");
}

Processes *
processes_new(const char *program) {
  Processes *processes = g_new0(Processes, 1);

  processes->folder = g_dir_make_tmp("martenmount-XXXXXX", NULL);
  g_assert_nonnull(processes->folder);
  for (guint i = 0; i < WORLD_NODES; i++) {
    processes->programs[i] = g_strdup(program);
    processes->http_addresses[i] = g_strdup_printf("127.0.0.1:%u", find_free_port());
  }
  return processes;
}

void
processes_set_program(Processes *processes, guint index, const char *program) {
  g_free(processes->programs[index]);
  processes->programs[index] = g_strdup(program);
}

static void
append_peer_settings(GString *text, char *const *peer_addresses, guint self) {
  for (guint i = 0; i < WORLD_NODES; i++)
    if (i != self)
      g_string_append_printf(text,
                             "[[others]]\nlabel = \"n-%u\"\nzone = \"%s\"\nendpoint = \"%s\"\n", i,
                             zones[i], peer_addresses[i]);
}

static void
append_team_settings(GString *text, const World *world) {
  for (guint i = 0; i < 4; i++)
    g_string_append_printf(text,
                           "[[settings.teams]]\nname = \"team-%u\"\ncpus = 4.0\ngpus = 0.0\n"
                           "cpus_max = %.1f\ngpus_max = 0.0\n",
                           i, world->team_cores);
}

static char *
make_settings(const Processes *processes, const World *world, char *const *peer_addresses,
              guint index, const char *external_address) {
  GString *text = g_string_new(NULL);

  g_string_append_printf(text,
                         "label = \"n-%u\"\nzone = \"%s\"\nfront = \"%s\"\n"
                         "cluster_listen = \"%s\"\n",
                         index, zones[index], processes->http_addresses[index],
                         peer_addresses[index]);
  append_peer_settings(text, peer_addresses, index);
  g_string_append_printf(text,
                         "[external]\ncloud = \"%s\"\nstate = \"%s\"\n[settings]\ncount = %d\n"
                         "zones = [\"a\", \"b\", \"c\"]\nskew_ms = 100.0\n",
                         external_address, external_address, WORLD_NODES);
  append_team_settings(text, world);
  g_string_append_printf(text,
                         "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 20.0\n"
                         "gang_peer_s = 4.0\ncancel_s = %.1f\n"
                         "[settings.state]\nrps = 400.0\nwrite_rps = 60.0\nvalue_kb = 4.0\n"
                         "txn_ops = 12\n[settings.cloud]\nrps = 6.0\nlist_lag_s = 2.0\n"
                         "[settings.resources]\ncpu = 1.0\nram_mb = %.1f\nmax_sockets = 1000\n",
                         world->heartbeat_interval_s, world->worker_lease_s, world->cancel_s,
                         world->memory_mb);
  return g_string_free(text, FALSE);
}

static char *
write_file(const Processes *processes, const char *name, const char *text) {
  char *path = g_build_filename(processes->folder, name, NULL);

  g_assert_true(g_file_set_contents(path, text, -1, NULL));
  return path;
}

void
processes_write_settings(Processes *processes, World *world, const char *external_address,
                         const char *operators_xml) {
  char *peer_addresses[WORLD_NODES];

  for (guint i = 0; i < WORLD_NODES; i++)
    peer_addresses[i] = g_strdup_printf("127.0.0.1:%u", find_free_port());
  for (guint i = 0; i < WORLD_NODES; i++) {
    g_autofree char *name = g_strdup_printf("n-%u.toml", i);
    g_autofree char *text = make_settings(processes, world, peer_addresses, i, external_address);
    processes->settings_paths[i] = write_file(processes, name, text);
  }
  for (guint i = 0; i < WORLD_NODES; i++)
    g_free(peer_addresses[i]);
  if (operators_xml != NULL)
    processes->operators_path = write_file(processes, "operators.xml", operators_xml);
}

typedef struct {
  Processes *processes;
  guint index;
} NodeRef;

static void
on_node_exit(GPid pid, gint status, gpointer data) {
  NodeRef *node_ref = data;

  node_ref->processes->n_unreaped--;
  /* processes_kill() has already cleared the pid of a process that it killed. */
  if (node_ref->processes->pids[node_ref->index] == pid) {
    fprintf(stderr, "n-%u exited unexpectedly: status=%d\n", node_ref->index, status);
    node_ref->processes->n_unexpected_exits++;
    node_ref->processes->pids[node_ref->index] = 0;
  }
  g_spawn_close_pid(pid);
}

void
processes_start(Processes *processes, guint index) {
  char *arguments[] = {
    processes->programs[index], "--config", processes->settings_paths[index], NULL, NULL, NULL
  };
  NodeRef *node_ref = g_new(NodeRef, 1);
  g_autoptr(GError) error = NULL;

  if (processes->operators_path != NULL) {
    arguments[3] = "--operators";
    arguments[4] = processes->operators_path;
  }
  if (!g_spawn_async(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
                     &processes->pids[index], &error))
    g_error("%s", error->message);
  processes->n_unreaped++;
  *node_ref = (NodeRef){ processes, index };
  g_child_watch_add_full(G_PRIORITY_DEFAULT, processes->pids[index], on_node_exit, node_ref,
                         g_free);
}

static gboolean
on_restart_timer(gpointer data) {
  NodeRef *node_ref = data;

  node_ref->processes->restart_timers[node_ref->index] = 0;
  processes_start(node_ref->processes, node_ref->index);
  return G_SOURCE_REMOVE;
}

static void
start_timer(Processes *processes, guint index, guint ms, GSourceFunc callback, guint *timer) {
  NodeRef *node_ref = g_new(NodeRef, 1);

  *node_ref = (NodeRef){ processes, index };
  *timer = g_timeout_add_full(G_PRIORITY_DEFAULT, ms, callback, node_ref, g_free);
}

/* Waits until a killed process has exited, because the process keeps its ports until then: a node
 * started earlier would find the ports in use. Does not reap the process; the child watch does. */
static void
wait_for_exit(GPid pid) {
  siginfo_t info;

  while (waitid(P_PID, (id_t)pid, &info, WEXITED | WNOWAIT) < 0 && errno == EINTR)
    continue;
}

void
processes_kill(Processes *processes, guint index, guint down_ms) {
  GPid pid = processes->pids[index];

  if (pid == 0 || processes->resume_timers[index] != 0)
    return;
  processes->pids[index] = 0;
  kill(pid, SIGKILL);
  wait_for_exit(pid);
  start_timer(processes, index, down_ms, on_restart_timer, &processes->restart_timers[index]);
}

static gboolean
on_resume_timer(gpointer data) {
  NodeRef *node_ref = data;

  node_ref->processes->resume_timers[node_ref->index] = 0;
  kill(node_ref->processes->pids[node_ref->index], SIGCONT);
  return G_SOURCE_REMOVE;
}

void
processes_pause(Processes *processes, guint index, guint ms) {
  if (processes->pids[index] == 0 || processes->resume_timers[index] != 0)
    return;
  kill(processes->pids[index], SIGSTOP);
  start_timer(processes, index, ms, on_resume_timer, &processes->resume_timers[index]);
}

void
processes_continue_all(Processes *processes) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (processes->resume_timers[i] == 0)
      continue;
    g_source_remove(processes->resume_timers[i]);
    processes->resume_timers[i] = 0;
    kill(processes->pids[i], SIGCONT);
  }
}

void
processes_stop(Processes *processes) {
  processes_continue_all(processes);
  for (guint i = 0; i < WORLD_NODES; i++) {
    GPid pid = processes->pids[i];
    if (processes->restart_timers[i] != 0)
      g_source_remove(processes->restart_timers[i]);
    processes->restart_timers[i] = 0;
    processes->pids[i] = 0;
    if (pid != 0)
      kill(pid, SIGKILL);
  }
  while (processes->n_unreaped > 0)
    g_main_context_iteration(NULL, TRUE);
}

void
processes_free(Processes *processes) {
  g_autofree char *other = NULL;

  for (guint i = 0; i < WORLD_NODES; i++) {
    if (processes->settings_paths[i] != NULL)
      g_unlink(processes->settings_paths[i]);
    g_free(processes->settings_paths[i]);
    g_free(processes->http_addresses[i]);
    g_free(processes->programs[i]);
  }
  if (processes->operators_path != NULL)
    g_unlink(processes->operators_path);
  other = g_build_filename(processes->folder, "operators-other.xml", NULL);
  g_unlink(other);
  g_rmdir(processes->folder);
  g_free(processes->operators_path);
  g_free(processes->folder);
  g_free(processes);
}

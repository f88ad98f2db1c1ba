#include "processes.h"

#include <errno.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

static const char *const zones[] = { "a", "b", "c" };

/* Below the ports that the system hands out for outgoing connections: such a connection, of this
 * rig or of anything else on the machine, would else take a node's port while the node is down. */
#define PORT_MIN 20000
#define PORT_MAX 32000
/* Rigs side by side begin apart from one another. */
#define PORTS_PER_RIG 16

static gboolean
is_free(guint port) {
  g_autoptr(GSocket) socket
      = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr(GSocketAddress) address = g_inet_socket_address_new_from_string("127.0.0.1", port);

  return g_socket_bind(socket, address, TRUE, NULL);
}

/* A port of the loopback address that is free as it is asked for; never the same twice in a rig. */
static guint
free_port(void) {
  static guint next;

  if (next == 0)
    next = PORT_MIN + (guint)getpid() * PORTS_PER_RIG % (PORT_MAX - PORT_MIN);
  for (guint tried = PORT_MIN; tried < PORT_MAX; tried++) {
    guint port = next;
    next = next + 1 < PORT_MAX ? next + 1 : PORT_MIN;
    if (is_free(port))
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
    processes->fronts[i] = g_strdup_printf("127.0.0.1:%u", free_port());
  }
  return processes;
}

void
processes_set_program(Processes *processes, guint index, const char *program) {
  g_free(processes->programs[index]);
  processes->programs[index] = g_strdup(program);
}

static void
append_others(GString *text, char *const *links, guint self) {
  for (guint i = 0; i < WORLD_NODES; i++)
    if (i != self)
      g_string_append_printf(text,
                             "[[others]]\nlabel = \"n-%u\"\nzone = \"%s\"\nendpoint = \"%s\"\n", i,
                             zones[i], links[i]);
}

static void
append_teams(GString *text, const World *world) {
  for (guint i = 0; i < 4; i++)
    g_string_append_printf(text,
                           "[[settings.teams]]\nname = \"team-%u\"\ncpus = 4.0\ngpus = 0.0\n"
                           "cpus_max = %.1f\ngpus_max = 0.0\n",
                           i, world->team_cores);
}

static char *
settings_of(const Processes *processes, const World *world, char *const *links, guint index,
            const char *outside) {
  GString *text = g_string_new(NULL);

  g_string_append_printf(text,
                         "label = \"n-%u\"\nzone = \"%s\"\nfront = \"%s\"\n"
                         "cluster_listen = \"%s\"\n",
                         index, zones[index], processes->fronts[index], links[index]);
  append_others(text, links, index);
  g_string_append_printf(text,
                         "[external]\ncloud = \"%s\"\nstate = \"%s\"\n[settings]\ncount = %d\n"
                         "zones = [\"a\", \"b\", \"c\"]\nskew_ms = 100.0\n",
                         outside, outside, WORLD_NODES);
  append_teams(text, world);
  g_string_append_printf(text,
                         "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 20.0\n"
                         "gang_peer_s = 4.0\ncancel_s = %.1f\n"
                         "[settings.state]\nrps = 400.0\nwrite_rps = 60.0\nvalue_kb = 4.0\n"
                         "txn_ops = 12\n[settings.cloud]\nrps = 6.0\nlist_lag_s = 2.0\n"
                         "[settings.resources]\ncpu = 1.0\nram_mb = 512.0\nmax_sockets = 1000\n",
                         world->heartbeat_interval_s, world->lease_s, world->cancel_s);
  return g_string_free(text, FALSE);
}

static char *
write_file(const Processes *processes, const char *name, const char *text) {
  char *path = g_build_filename(processes->folder, name, NULL);

  g_assert_true(g_file_set_contents(path, text, -1, NULL));
  return path;
}

void
processes_write_settings(Processes *processes, World *world, const char *outside,
                         const char *operators_xml) {
  char *links[WORLD_NODES];

  for (guint i = 0; i < WORLD_NODES; i++)
    links[i] = g_strdup_printf("127.0.0.1:%u", free_port());
  for (guint i = 0; i < WORLD_NODES; i++) {
    g_autofree char *name = g_strdup_printf("n-%u.toml", i);
    g_autofree char *text = settings_of(processes, world, links, i, outside);
    processes->settings[i] = write_file(processes, name, text);
  }
  for (guint i = 0; i < WORLD_NODES; i++)
    g_free(links[i]);
  if (operators_xml != NULL)
    processes->operators = write_file(processes, "operators.xml", operators_xml);
}

typedef struct {
  Processes *processes;
  guint index;
} Which;

static void
ended(GPid pid, gint status, gpointer data) {
  Which *which = data;

  which->processes->alive--;
  /* processes_kill() has forgotten the process already. */
  if (which->processes->pids[which->index] == pid) {
    fprintf(stderr, "n-%u has ended by itself, status %d\n", which->index, status);
    which->processes->ends++;
    which->processes->pids[which->index] = 0;
  }
  g_spawn_close_pid(pid);
}

void
processes_start(Processes *processes, guint index) {
  char *arguments[]
      = { processes->programs[index], "--config", processes->settings[index], NULL, NULL, NULL };
  Which *which = g_new(Which, 1);
  g_autoptr(GError) error = NULL;

  if (processes->operators != NULL) {
    arguments[3] = "--operators";
    arguments[4] = processes->operators;
  }
  if (!g_spawn_async(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
                     &processes->pids[index], &error))
    g_error("%s", error->message);
  processes->alive++;
  *which = (Which){ processes, index };
  g_child_watch_add_full(G_PRIORITY_DEFAULT, processes->pids[index], ended, which, g_free);
}

static gboolean
start_again(gpointer data) {
  Which *which = data;

  which->processes->restarts[which->index] = 0;
  processes_start(which->processes, which->index);
  return G_SOURCE_REMOVE;
}

static void
later(Processes *processes, guint index, guint ms, GSourceFunc call, guint *timer) {
  Which *which = g_new(Which, 1);

  *which = (Which){ processes, index };
  *timer = g_timeout_add_full(G_PRIORITY_DEFAULT, ms, call, which, g_free);
}

/* A killed process keeps its ports until it has ended, and another started on them meanwhile would
 * find them in use. The process is left for the child watch to reap. */
static void
wait_for_end(GPid pid) {
  siginfo_t info;

  while (waitid(P_PID, (id_t)pid, &info, WEXITED | WNOWAIT) < 0 && errno == EINTR)
    continue;
}

void
processes_kill(Processes *processes, guint index, guint down_ms) {
  GPid pid = processes->pids[index];

  if (pid == 0 || processes->pauses[index] != 0)
    return;
  processes->pids[index] = 0;
  kill(pid, SIGKILL);
  wait_for_end(pid);
  later(processes, index, down_ms, start_again, &processes->restarts[index]);
}

static gboolean
go_on(gpointer data) {
  Which *which = data;

  which->processes->pauses[which->index] = 0;
  kill(which->processes->pids[which->index], SIGCONT);
  return G_SOURCE_REMOVE;
}

void
processes_pause(Processes *processes, guint index, guint ms) {
  if (processes->pids[index] == 0 || processes->pauses[index] != 0)
    return;
  kill(processes->pids[index], SIGSTOP);
  later(processes, index, ms, go_on, &processes->pauses[index]);
}

void
processes_continue_all(Processes *processes) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (processes->pauses[i] == 0)
      continue;
    g_source_remove(processes->pauses[i]);
    processes->pauses[i] = 0;
    kill(processes->pids[i], SIGCONT);
  }
}

void
processes_stop(Processes *processes) {
  processes_continue_all(processes);
  for (guint i = 0; i < WORLD_NODES; i++) {
    GPid pid = processes->pids[i];
    if (processes->restarts[i] != 0)
      g_source_remove(processes->restarts[i]);
    processes->restarts[i] = 0;
    processes->pids[i] = 0;
    if (pid != 0)
      kill(pid, SIGKILL);
  }
  while (processes->alive > 0)
    g_main_context_iteration(NULL, TRUE);
}

void
processes_free(Processes *processes) {
  g_autofree char *other = NULL;

  for (guint i = 0; i < WORLD_NODES; i++) {
    if (processes->settings[i] != NULL)
      g_unlink(processes->settings[i]);
    g_free(processes->settings[i]);
    g_free(processes->fronts[i]);
    g_free(processes->programs[i]);
  }
  if (processes->operators != NULL)
    g_unlink(processes->operators);
  other = g_build_filename(processes->folder, "operators-other.xml", NULL);
  g_unlink(other);
  g_rmdir(processes->folder);
  g_free(processes->operators);
  g_free(processes->folder);
  g_free(processes);
}

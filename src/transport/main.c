/* The program `martenmount`: reads the command line and the settings, and runs a node in GLib's
 * main loop on a platform implemented with sockets. */
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "sharing/sharing.h"
#include "transport/groups-command.h"
#include "transport/transport.h"

#define EXIT_USAGE 2

typedef struct {
  MmHttpClient *http_client;
  MmPeerSockets *peer_sockets;
} Transport;

static MmTime
transport_now(gpointer context) {
  return mm_clock_now();
}

static gint64
transport_wall_ms(gpointer context) {
  return mm_clock_wall_ms();
}

static void
transport_request(gpointer context, MmTarget target, const char *address, const char *method,
                  const char *path, const MmJson *body, guint timeout_ms,
                  MmResponseCallback callback, gpointer data) {
  mm_http_client_request(((Transport *)context)->http_client, target, address, method, path, body,
                         timeout_ms, callback, data);
}

static void
transport_send(gpointer context, guint peer, const Mm__Frame *frame) {
  mm_peer_sockets_send(((Transport *)context)->peer_sockets, peer, frame);
}

static void
transport_reconnect(gpointer context, guint peer) {
  mm_peer_sockets_reconnect(((Transport *)context)->peer_sockets, peer);
}

typedef struct {
  void (*callback)(gpointer data);
  gpointer data;
} Timer;

static gboolean
on_timer_due(gpointer data) {
  Timer *timer = data;

  timer->callback(timer->data);
  g_free(timer);
  return G_SOURCE_REMOVE;
}

static void
transport_call_after(gpointer context, guint ms, void (*callback)(gpointer data), gpointer data) {
  Timer *timer = g_new(Timer, 1);

  *timer = (Timer){ callback, data };
  g_timeout_add(ms, on_timer_due, timer);
}

static gboolean
tick(gpointer data) {
  const MmNode *node = data;

  if (node->sharing->conflicting_group_count != 0) {
    fprintf(stderr,
            "martenmount: <groups> is %u, but the state service holds machines divided into"
            " %u groups\n",
            node->sharing->n_groups, node->sharing->conflicting_group_count);
    exit(EXIT_USAGE);
  }
  mm_node_tick(data);
  return G_SOURCE_CONTINUE;
}

static int
run(const MmSettings *settings, const MmOperators *operators) {
  Transport transport = { mm_http_client_new(settings), mm_peer_sockets_new(settings) };
  MmPlatform platform
      = { &transport,     transport_now,       transport_wall_ms,   transport_request,
          transport_send, transport_reconnect, transport_call_after };
  MmNode *node = mm_node_new(settings, operators, &platform, g_random_int());
  g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
  g_autoptr(GError) error = NULL;

  if (!mm_peer_sockets_start(transport.peer_sockets, node, &error)
      || mm_http_server_new(node, settings->http_listen_address, &error) == NULL) {
    mm_error("node startup failed, cannot listen error=%s", error->message);
    return EXIT_FAILURE;
  }
  mm_info("node started label=%s front=%s zone=%s", settings->label.s,
          settings->http_listen_address, settings->zone.s);
  g_timeout_add_full(G_PRIORITY_HIGH, MM_NODE_TICK_MS, tick, node, NULL);
  mm_node_start(node);
  g_main_loop_run(loop); /* until the process is killed */
  return EXIT_SUCCESS;
}

/* The parsed command line. Free its members with command_line_clear. */
typedef struct {
  char *settings_path;
  char *operators_path;
  gboolean is_check_only;
  gboolean shows_version;
} CommandLine;

static void
command_line_clear(CommandLine *command_line) {
  g_free(command_line->settings_path);
  g_free(command_line->operators_path);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(CommandLine, command_line_clear)

/* Parses the command line. If the command line is invalid, prints the error and the help, and
 * returns FALSE. */
static gboolean
parse_command_line(int argc, char **argv, CommandLine *command_line) {
  const GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &command_line->settings_path,
      "The platform's settings (TOML)", "FILE" },
    { "operators", 'o', 0, G_OPTION_ARG_FILENAME, &command_line->operators_path,
      "The operators' settings (XML)", "FILE" },
    { "check", 0, 0, G_OPTION_ARG_NONE, &command_line->is_check_only,
      "Read the settings, say whether they hold, exit", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &command_line->shows_version,
      "Print the version and exit", NULL },
    { NULL },
  };
  g_autoptr(GOptionContext) context
      = g_option_context_new("- a cluster scheduler; `groups` shows its machine groups");
  g_autoptr(GError) error = NULL;
  g_autofree char *help = NULL;

  g_option_context_add_main_entries(context, entries, NULL);
  if (g_option_context_parse(context, &argc, &argv, &error) && argc <= 1)
    return TRUE;
  help = g_option_context_get_help(context, TRUE, NULL);
  fprintf(stderr, "martenmount: %s\n%s", error != NULL ? error->message : "stray argument", help);
  return FALSE;
}

/* Reads both settings files and checks that they are consistent. If a file is invalid or the files
 * contradict each other, prints the reason and returns NULL. */
static MmSettings *
read_settings(const CommandLine *command_line, MmOperators *operators) {
  g_autoptr(GError) error = NULL;
  g_autoptr(MmSettings) settings = mm_settings_read(command_line->settings_path, &error);
  const char *operators_path = command_line->operators_path;

  if (settings != NULL
      && (operators_path == NULL
          || (mm_operators_read(operators, operators_path, &error)
              && mm_operators_check_against_settings(operators, settings, operators_path, &error))))
    return g_steal_pointer(&settings);
  fprintf(stderr, "martenmount: %s\n", error->message);
  return NULL;
}

int
main(int argc, char **argv) {
  g_auto(CommandLine) command_line = { 0 };
  g_autoptr(MmSettings) settings = NULL;
  MmOperators operators = mm_operators_defaults();

  /* GIO's modules add only features that the program does not need: name resolution, proxies and
   * volumes. Start-up is shorter without these modules. */
  g_setenv("GIO_MODULE_DIR", "/nonexistent", TRUE);
  g_setenv("GIO_USE_VFS", "local", TRUE);
  if (argc > 1 && strcmp(argv[1], "groups") == 0)
    return mm_groups_command(argc - 1, argv + 1);
  if (!parse_command_line(argc, argv, &command_line))
    return EXIT_USAGE;
  if (command_line.shows_version) {
    puts("martenmount " MM_VERSION);
    return EXIT_SUCCESS;
  }
  if (!mm_log_read_level())
    fprintf(stderr, "martenmount: LOG_LEVEL must be error, info, or debug; using info\n");
  if (command_line.settings_path == NULL) {
    fprintf(stderr, "martenmount: --config FILE is required\n");
    return EXIT_USAGE;
  }
  settings = read_settings(&command_line, &operators);
  if (settings == NULL)
    return EXIT_USAGE;
  if (command_line.is_check_only) {
    puts("the settings hold");
    return EXIT_SUCCESS;
  }
  return run(settings, &operators);
}

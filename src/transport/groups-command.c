#include "transport/groups-command.h"

#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/json.h"
#include "sharing/admin.h"

#define EXIT_USAGE 2
#define TIMEOUT_S 5
#define NO_GROUP (-1)

typedef struct {
  char *node_address;
  char *target_node;
  int group;
} Arguments;

/* Prints one line on standard error and returns `status`. */
static int
print_failure(int status, const char *node_address, const char *reason) {
  fprintf(stderr, "martenmount groups: %s%s%s\n", node_address != NULL ? node_address : "",
          node_address != NULL ? ": " : "", reason);
  return status;
}

static SoupMessage *
new_message(const Arguments *arguments) {
  g_autofree char *list_url
      = g_strdup_printf("http://%s" MM_ADMIN_GROUPS_PATH, arguments->node_address);
  g_autofree char *move_url = g_strdup_printf("%s/%d/move", list_url, arguments->group);
  gboolean is_move = arguments->group != NO_GROUP;
  SoupMessage *message = soup_message_new(is_move ? "POST" : "GET", is_move ? move_url : list_url);

  if (message != NULL && is_move) {
    g_autoptr(MmJson) body = mm_json_pack("{s:s}", MM_ADMIN_TO, arguments->target_node);
    char *text = mm_json_to_text(body);
    g_autoptr(GBytes) bytes = g_bytes_new_take(text, strlen(text));
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  }
  return message;
}

/* Returns the body of the response as a new reference. If the response has no usable body, returns
 * NULL and sets `reason`, which the caller must free. */
static MmJson *
send_request(const Arguments *arguments, guint *status, char **reason) {
  g_autoptr(SoupSession) soup_session = soup_session_new_with_options("timeout", TIMEOUT_S, NULL);
  g_autoptr(SoupMessage) message = new_message(arguments);
  g_autoptr(GError) error = NULL;
  g_autoptr(GBytes) bytes = NULL;
  MmJson *body;

  if (message == NULL) {
    *reason = g_strdup("is not an address of the form HOST:PORT");
    return NULL;
  }
  bytes = soup_session_send_and_read(soup_session, message, NULL, &error);
  if (bytes == NULL) {
    *reason = g_strdup(error->message);
    return NULL;
  }
  *status = soup_message_get_status(message);
  body = mm_json_parse(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes), NULL);
  if (body == NULL)
    *reason = g_strdup_printf("response with status %u has no JSON body", *status);
  return body;
}

static void
print_node(const MmJson *node) {
  const MmJson *owned = mm_json_get(node, MM_ADMIN_OWNED);
  size_t i;
  MmJson *entry;

  printf("%-20s weight %g, %" G_GUINT64_FORMAT " groups\n", mm_json_string(node, MM_ADMIN_NODE),
         mm_json_number(node, MM_ADMIN_WEIGHT, 1), mm_json_count(node, MM_ADMIN_COUNT, 0));
  MM_JSON_ARRAY_FOREACH (owned, i, entry)
    printf("  term %-10" G_GUINT64_FORMAT " %s\n", mm_json_count(entry, MM_ADMIN_TERM, 0),
           mm_json_string(entry, MM_ADMIN_GROUPS));
}

static void
print_list(const MmJson *body) {
  const char *unowned = mm_json_string(body, MM_ADMIN_UNOWNED);
  size_t i;
  MmJson *item;

  printf("%" G_GUINT64_FORMAT " groups, %s\n", mm_json_count(body, MM_ADMIN_GROUPS, 0),
         mm_json_flag(body, MM_ADMIN_ACTIVE) ? "shared out" : "not shared out");
  MM_JSON_ARRAY_FOREACH (mm_json_get(body, MM_ADMIN_NODES), i, item)
    print_node(item);
  MM_JSON_ARRAY_FOREACH (mm_json_get(body, MM_ADMIN_MOVES), i, item)
    printf("moving: group %" G_GUINT64_FORMAT " from %s to %s\n",
           mm_json_count(item, MM_ADMIN_GROUP, 0), mm_json_string(item, MM_ADMIN_FROM),
           mm_json_string(item, MM_ADMIN_TO));
  if (unowned != NULL && unowned[0] != '\0')
    printf("without an owner: %s\n", unowned);
}

static int
run_command(const Arguments *arguments) {
  g_autofree char *reason = NULL;
  guint status = 0;
  g_autoptr(MmJson) body = send_request(arguments, &status, &reason);
  const char *error_text = mm_json_string(body, "error");

  if (body == NULL)
    return print_failure(EXIT_FAILURE, arguments->node_address, reason);
  if (status == SOUP_STATUS_OK) {
    print_list(body);
    return EXIT_SUCCESS;
  }
  if (status != SOUP_STATUS_ACCEPTED)
    return print_failure(EXIT_FAILURE, arguments->node_address,
                         error_text != NULL ? error_text : "refused");
  printf("group %d goes to %s\n", arguments->group, arguments->target_node);
  return EXIT_SUCCESS;
}

int
mm_groups_command(int argc, char **argv) {
  g_autofree char *node_address = NULL, *target_node = NULL;
  int group = NO_GROUP;
  const GOptionEntry entries[] = {
    { "front", 'f', 0, G_OPTION_ARG_STRING, &node_address, "A node's address for users",
      "HOST:PORT" },
    { "move", 'm', 0, G_OPTION_ARG_INT, &group, "Move this group", "GROUP" },
    { "to", 't', 0, G_OPTION_ARG_STRING, &target_node, "To this node", "NODE" },
    { NULL },
  };
  g_autoptr(GOptionContext) context = g_option_context_new("- who owns which machine groups");
  g_autoptr(GError) error = NULL;

  g_option_context_add_main_entries(context, entries, NULL);
  if (!g_option_context_parse(context, &argc, &argv, &error))
    return print_failure(EXIT_USAGE, NULL, error->message);
  if (argc > 1)
    return print_failure(EXIT_USAGE, NULL, "stray argument");
  if (node_address == NULL)
    return print_failure(EXIT_USAGE, NULL, "--front HOST:PORT is required");
  if ((group == NO_GROUP) != (target_node == NULL))
    return print_failure(EXIT_USAGE, NULL, "--move and --to go together");
  return run_command(&(Arguments){ node_address, target_node, group });
}

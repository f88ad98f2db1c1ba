#include "sharing/admin.h"

#include "base/json.h"
#include "peers/peer-links.h"
#include "kv/replica.h"
#include "sharing/moves.h"

#define MOVE_SUFFIX "/move"
#define RETRY_AFTER_S 1

/* List of groups. */

static MmJson *
describe_node(const MmSharing *sharing, const char *label) {
  const MmOwnershipRecord *record = mm_group_map_ownership_record(sharing->map, label);
  MmJson *owned = mm_json_new_array();
  guint64 count = 0;

  for (guint i = 0; record != NULL && i < record->acquisitions->len; i++) {
    const MmGroupAcquisition *acquisition = g_ptr_array_index(record->acquisitions, i);
    g_autofree char *ranges = mm_group_set_to_text(acquisition->groups);
    count += roaring_bitmap_get_cardinality(acquisition->groups);
    mm_json_array_append(owned, mm_json_pack("{s:I, s:s}", MM_ADMIN_TERM, acquisition->term.v,
                                             MM_ADMIN_GROUPS, ranges));
  }
  return mm_json_pack("{s:s, s:f, s:I, s:o}", MM_ADMIN_NODE, label, MM_ADMIN_WEIGHT,
                      mm_operators_group_weight(sharing->node->operators, label), MM_ADMIN_COUNT,
                      (guint64)count, MM_ADMIN_OWNED, owned);
}

static void
append_move(MmJson *moves, guint group, const char *from, const char *to) {
  mm_json_array_append(moves, mm_json_pack("{s:i, s:s, s:s}", MM_ADMIN_GROUP, (int)group,
                                           MM_ADMIN_FROM, from, MM_ADMIN_TO, to));
}

static MmJson *
describe_moves(const MmSharing *sharing) {
  MmJson *moves = mm_json_new_array();

  for (guint group = 0; group < sharing->n_groups; group++) {
    const MmOwnedGroup *owned = sharing->owned[group];
    if (owned != NULL && owned->is_moving)
      append_move(moves, group, sharing->node->settings->label.s, owned->target.s);
  }
  for (guint i = 0; i < sharing->node->peer_links->n_peers; i++)
    for (guint k = 0; k < sharing->peer_moves[i]->len; k++) {
      const MmGroupMove *move = &g_array_index(sharing->peer_moves[i], MmGroupMove, k);
      append_move(moves, move->group, move->from.s, move->to.s);
    }
  return moves;
}

static char *
describe_unowned(const MmSharing *sharing) {
  g_autoptr(MmGroupSet) unowned = roaring_bitmap_create();

  for (guint group = 0; group < sharing->n_groups; group++)
    if (mm_group_map_owner(sharing->map, group).record == NULL)
      roaring_bitmap_add(unowned, group);
  return mm_group_set_to_text(unowned);
}

static void
respond_list(const MmSharing *sharing, MmHttpExchange *exchange) {
  const MmSettings *settings = sharing->node->settings;
  MmJson *nodes = mm_json_new_array();
  g_autofree char *unowned = NULL;

  if (sharing->n_groups == 0) {
    mm_json_unref(nodes);
    mm_http_exchange_respond(
        exchange, 200, mm_json_pack("{s:b, s:i}", MM_ADMIN_ACTIVE, FALSE, MM_ADMIN_GROUPS, 0), 0);
    return;
  }
  unowned = describe_unowned(sharing);
  mm_json_array_append(nodes, describe_node(sharing, settings->label.s));
  for (guint i = 0; i < settings->peers->len; i++)
    mm_json_array_append(
        nodes, describe_node(sharing, g_array_index(settings->peers, MmPeerSettings, i).label.s));
  mm_http_exchange_respond(exchange, 200,
                           mm_json_pack("{s:b, s:i, s:o, s:o, s:s}", MM_ADMIN_ACTIVE,
                                        sharing->is_active, MM_ADMIN_GROUPS, (int)sharing->n_groups,
                                        MM_ADMIN_NODES, nodes, MM_ADMIN_MOVES,
                                        describe_moves(sharing), MM_ADMIN_UNOWNED, unowned),
                           0);
}

/* Moves requested by an operator. */

static int
http_status_of(MmMoveResult result) {
  switch (result) {
  case MM_MOVE_STARTED:
    return 202;
  case MM_MOVE_UNKNOWN_GROUP:
  case MM_MOVE_UNKNOWN_NODE:
    return 404;
  case MM_MOVE_NOT_OWNER:
  case MM_MOVE_TARGET_NOT_LIVE:
    return 503;
  case MM_MOVE_SHARING_OFF:
  case MM_MOVE_SAME_NODE:
  case MM_MOVE_UNDER_WAY:
  case MM_MOVE_TOO_SOON:
  case MM_MOVE_TOO_MANY:
  default:
    return 409;
  }
}

static void
respond_move(MmMoveResult result, MmHttpExchange *exchange) {
  int status = http_status_of(result);

  mm_http_exchange_respond(exchange, status, mm_json_error(mm_sharing_move_result_text(result)),
                           status == 503 ? RETRY_AFTER_S : 0);
}

/* Forwards the order to the peer that owns the group and responds that the move has started. The
 * peer does not report the outcome of the move. The outcome is visible only in the list of
 * groups. */
static void
forward_move_order(MmSharing *sharing, const MmOwnershipRecord *record, guint group,
                   const char *target, MmHttpExchange *exchange) {
  gint peer = mm_peer_links_find(sharing->node->peer_links, record->node.s);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__MoveOrder order = MM__MOVE_ORDER__INIT;

  if (peer < 0 || !sharing->node->peer_links->peers[peer].is_up) {
    mm_http_exchange_respond(exchange, 503, mm_json_error("the group's owner can't be reached"),
                             RETRY_AFTER_S);
    return;
  }
  order.group = group;
  order.target = (char *)target;
  order.by_hand = TRUE;
  frame.body_case = MM__FRAME__BODY_MOVE_ORDER;
  frame.move_order = &order;
  mm_peer_links_send(sharing->node->peer_links, (guint)peer, &frame);
  respond_move(MM_MOVE_STARTED, exchange);
}

static void
handle_manual_move(MmSharing *sharing, guint group, const char *target, MmHttpExchange *exchange) {
  MmMoveResult result = mm_sharing_move(sharing, group, target, TRUE);
  MmGroupOwner owner;

  if (result != MM_MOVE_NOT_OWNER) {
    respond_move(result, exchange);
    return;
  }
  owner = mm_group_map_owner(sharing->map, group);
  if (owner.record == NULL || mm_name_equal(&owner.record->node, &sharing->node->settings->label))
    respond_move(result, exchange);
  else if (strcmp(owner.record->node.s, target) == 0)
    respond_move(MM_MOVE_SAME_NODE, exchange);
  else
    forward_move_order(sharing, owner.record, group, target, exchange);
}

/* Parses "/NUMBER/move". Returns FALSE for any other path. */
static gboolean
parse_move_path(const char *subpath, guint *group) {
  guint64 number;
  char *end = NULL;

  if (subpath[0] != '/' || !g_ascii_isdigit(subpath[1]))
    return FALSE;
  number = g_ascii_strtoull(subpath + 1, &end, 10);
  *group = (guint)MIN(number, G_MAXUINT);
  return strcmp(end, MOVE_SUFFIX) == 0;
}

void
mm_sharing_handle_admin_request(MmSharing *sharing, const char *method, const char *subpath,
                                const MmJson *body, MmHttpExchange *exchange) {
  gboolean is_list = subpath[0] == '\0';
  const char *target = mm_json_string(body, MM_ADMIN_TO);
  guint group;

  if (!is_list && !parse_move_path(subpath, &group))
    mm_http_exchange_respond(exchange, 404, mm_json_error("no such path"), 0);
  else if (strcmp(method, is_list ? "GET" : "POST") != 0)
    mm_http_exchange_respond(exchange, 405, mm_json_error("this path does not take that method"),
                             0);
  else if (is_list)
    respond_list(sharing, exchange);
  else if (target == NULL)
    mm_http_exchange_respond(exchange, 400, mm_json_error(MM_ADMIN_TO " must name a node"), 0);
  else
    handle_manual_move(sharing, group, target, exchange);
}

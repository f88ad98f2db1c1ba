/* Links between the nodes. A link delivers frames in order. Frames are lost if the node at either
 * end is not running or is partitioned, or if the link is half-open or refused. */
#include "world/internal.h"

#include "peers.pb-c.h"
#include "peers/peer-links.h"
#include "node/peer-receiver.h"

/* A frame in transit, or the opening of a link if `bytes` is NULL. */
typedef struct {
  World *world;
  guint from;
  guint to;
  guint from_generation;
  guint to_generation;
  guint8 *bytes;
  gsize length;
} LinkMessage;

/* Returns the index of the node `other` among the peers of `node`. */
static guint
peer_index(guint node, guint other) {
  return other < node ? other : other - 1;
}

/* Returns the index of the node that is peer `peer` of `node`. */
static guint
node_index(guint node, guint peer) {
  return peer < node ? peer : peer + 1;
}

static void
deliver_link_message(gpointer data) {
  LinkMessage *message = data;
  WorldNode *from = &message->world->nodes[message->from];
  WorldNode *to = &message->world->nodes[message->to];

  if (world_defer_while_suspended(to, message->to_generation, deliver_link_message, message))
    return;
  if (to->node != NULL && to->generation == message->to_generation
      && from->generation == message->from_generation) {
    Mm__Frame *frame;
    frame = mm__frame__unpack(NULL, message->length, message->bytes);
    mm_peer_links_receive(to->node->peer_links, peer_index(message->to, message->from), frame);
    mm__frame__free_unpacked(frame, NULL);
  }
  g_free(message->bytes);
  g_free(message);
}

void
world_link_send(gpointer data, guint peer, const Mm__Frame *frame) {
  WorldNode *world_node = data;
  World *world = world_node->world;
  guint to = node_index(world_node->index, peer);
  LinkMessage *message;

  if (world_node->node == NULL || world->nodes[to].node == NULL || world_node->is_link_half_open[to]
      || world->now_us < world_node->partitioned_until_us
      || world->now_us < world->nodes[to].partitioned_until_us
      || world->now_us < world->links_refused_until_us)
    return;
  world->n_frames++;
  message = g_new(LinkMessage, 1);
  *message = (LinkMessage){ world,
                            world_node->index,
                            to,
                            world_node->generation,
                            world->nodes[to].generation,
                            NULL,
                            mm__frame__get_packed_size(frame) };
  world->n_frame_bytes += message->length;
  message->bytes = g_malloc(MAX(message->length, 1));
  mm__frame__pack(frame, message->bytes);
  /* A constant transit time keeps the frames in order. */
  world_schedule(world, world->now_us + 1500, deliver_link_message, message);
}

static void
on_link_up(gpointer data) {
  LinkMessage *message = data;
  WorldNode *from = &message->world->nodes[message->from],
            *to = &message->world->nodes[message->to];

  if (world_defer_while_suspended(from, message->from_generation, on_link_up, message))
    return;
  if (from->node != NULL && to->node != NULL && from->generation == message->from_generation
      && to->generation == message->to_generation && !from->is_link_half_open[message->to]
      && message->world->now_us >= from->partitioned_until_us
      && message->world->now_us >= to->partitioned_until_us
      && message->world->now_us >= message->world->links_refused_until_us)
    mm_peer_links_connected(from->node->peer_links, peer_index(message->from, message->to));
  g_free(message);
}

static void
link_nodes(World *world, guint from, guint to) {
  LinkMessage *message = g_new0(LinkMessage, 1);

  *message
      = (LinkMessage){ world, from, to, world->nodes[from].generation, world->nodes[to].generation,
                       NULL,  0 };
  /* A random delay varies which of the two sides opens the link first. */
  world_schedule(world, world->now_us + 100000 + world_network_delay(world) * 20, on_link_up,
                 message);
}

void
world_link_reconnect(gpointer data, guint peer) {
  WorldNode *world_node = data;
  guint to = node_index(world_node->index, peer);

  world_node->world->n_reconnects++;
  world_node->is_link_half_open[to] = FALSE;
  mm_peer_links_disconnected(world_node->node->peer_links, peer);
  link_nodes(world_node->world, world_node->index, to);
}

void
world_links_open(const WorldNode *world_node) {
  World *world = world_node->world;

  for (guint i = 0; i < WORLD_NODES; i++) {
    if (i == world_node->index || world->nodes[i].node == NULL || world_node->node == NULL)
      continue;
    link_nodes(world, world_node->index, i);
    link_nodes(world, i, world_node->index);
  }
}

void
world_links_close(World *world, guint index) {
  WorldNode *world_node = &world->nodes[index];

  for (guint i = 0; i < WORLD_NODES; i++) {
    if (i == index || world->nodes[i].node == NULL)
      continue;
    mm_peer_links_disconnected(world->nodes[i].node->peer_links, peer_index(i, index));
    mm_peer_links_disconnected(world_node->node->peer_links, peer_index(index, i));
    world->nodes[i].is_link_half_open[index] = world_node->is_link_half_open[i] = FALSE;
  }
}

void
world_links_node_ended(World *world, guint index) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    if (i == index || world->nodes[i].node == NULL)
      continue;
    /* Only an established link can become half-open. The opening of any other link fails and is
     * retried. */
    if (world->node_ends_leave_half_open_links
        && world->nodes[i].node->peer_links->peers[peer_index(i, index)].is_connected)
      world->nodes[i].is_link_half_open[index] = TRUE;
    else
      mm_peer_links_disconnected(world->nodes[i].node->peer_links, peer_index(i, index));
  }
}

static void
on_link_refusal_ended(gpointer data) {
  World *world = data;

  for (guint i = 0; i < WORLD_NODES; i++)
    for (guint k = 0; k < WORLD_NODES; k++)
      if (i != k && world->nodes[i].node != NULL && world->nodes[k].node != NULL)
        link_nodes(world, i, k);
}

void
world_refuse_links(World *world, double seconds) {
  if (world->now_us < world->links_refused_until_us)
    return;
  world->links_refused_until_us = world->now_us + (gint64)(seconds * G_USEC_PER_SEC);
  for (guint i = 0; i < WORLD_NODES; i++) {
    memset(world->nodes[i].is_link_half_open, 0, sizeof world->nodes[i].is_link_half_open);
    for (guint k = 0; k < WORLD_NODES - 1 && world->nodes[i].node != NULL; k++)
      mm_peer_links_disconnected(world->nodes[i].node->peer_links, k);
  }
  world_schedule(world, world->links_refused_until_us + 1000, on_link_refusal_ended, world);
}

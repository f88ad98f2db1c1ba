#include "peers/peer-links.h"

#include "heartbeat-server/heartbeat-server.h"
#include "kv/kv-client.h"
#include "kv/replica.h"
#include "leases/node-lease.h"
#include "peers/peer-broadcast.h"
#include "sharing/moves.h"

/* Maximum time for which heartbeats without changes wait to be sent as one batch. */
#define REPEAT_HEARTBEATS_INTERVAL_MS 200
/* A pong older than this is no evidence that the peer still answers workers. */
#define PONG_VALIDITY_MS 1500
/* A connection without a pong for this many ping intervals, and for at least SILENCE_LIMIT_MIN_MS,
 * is considered half-open and is reopened. */
#define SILENCE_LIMIT_PING_INTERVALS 10
#define SILENCE_LIMIT_MIN_MS 5000
/* Maximum time between two ticks that counts as silence of a peer. A longer gap means that this
 * node itself was suspended. */
#define TICK_GAP_MAX_MS (4 * MM_NODE_TICK_MS)
/* Events older than this are reported to peers as if they had never occurred. */
#define REPORTED_AGE_MAX_MS 3600000

MmPeerLinks *
mm_peer_links_new(MmNode *node) {
  MmPeerLinks *links = g_new0(MmPeerLinks, 1);

  links->node = node;
  links->n_peers = node->settings->peers->len;
  links->unverified_machines = g_array_new(FALSE, FALSE, sizeof(MmName));
  links->repeat_heartbeats = g_array_new(FALSE, FALSE, sizeof(MmRepeatHeartbeat));
  links->peers = g_new0(MmPeer, links->n_peers);
  for (guint i = 0; i < links->n_peers; i++)
    links->peers[i].label = g_array_index(node->settings->peers, MmPeerSettings, i).label;
  return links;
}

void
mm_peer_links_free(MmPeerLinks *links) {
  g_array_unref(links->repeat_heartbeats);
  g_array_unref(links->unverified_machines);
  g_free(links->peers);
  g_free(links);
}

gint
mm_peer_links_find(const MmPeerLinks *links, const char *label) {
  for (guint i = 0; i < links->n_peers; i++)
    if (strcmp(links->peers[i].label.s, label) == 0)
      return (gint)i;
  return MM_PEER_NONE;
}

/* Sends the frame on an open connection, even if the peer has not been sent the initial state. */
static void
send_if_connected(MmPeerLinks *links, guint peer, Mm__Frame *frame) {
  if (!links->peers[peer].is_connected)
    return;
  links->n_frames_sent++;
  links->node->platform.send(links->node->platform.context, peer, frame);
}

void
mm_peer_links_send(MmPeerLinks *links, guint peer, Mm__Frame *frame) {
  if (links->peers[peer].is_up)
    send_if_connected(links, peer, frame);
}

/* Returns the event's age as frames encode it: in milliseconds, plus one; 0: the event never
 * occurred or is older than REPORTED_AGE_MAX_MS. */
static guint32
age_plus_one_ms(const MmPeerLinks *links, MmTime event_at) {
  gint64 age = mm_time_ms_since(mm_node_now(links->node), event_at);

  return event_at.us == 0 || age > REPORTED_AGE_MAX_MS ? 0 : (guint32)age + 1;
}

static void
send_hello(MmPeerLinks *links, guint peer) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Hello hello = MM__HELLO__INIT;

  hello.label = (char *)links->node->settings->label.s;
  hello.lease_id = links->node->node_lease->lease_id;
  frame.body_case = MM__FRAME__BODY_HELLO;
  frame.hello = &hello;
  send_if_connected(links, peer, &frame);
}

static void
send_ping(MmPeerLinks *links, guint peer) {
  MmTime now = mm_node_now(links->node);
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Ping ping = MM__PING__INIT;

  ping.sent_at_us = (guint64)now.us;
  ping.served_age_plus_one_ms = age_plus_one_ms(links, links->node->kv->last_served_at);
  frame.body_case = MM__FRAME__BODY_PING;
  frame.ping = &ping;
  send_if_connected(links, peer, &frame);
}

void
mm_peer_links_connected(MmPeerLinks *links, guint peer) {
  links->peers[peer].is_connected = TRUE;
  links->peers[peer].is_up = FALSE;
  links->peers[peer].silent_us = 0;
  send_hello(links, peer);
  send_ping(links, peer);
}

void
mm_peer_links_disconnected(MmPeerLinks *links, guint peer) {
  links->peers[peer].is_connected = FALSE;
  links->peers[peer].is_up = FALSE;
  links->peers[peer].serves_workers = FALSE;
  mm_sharing_peer_down(links->node->sharing, peer);
}

MmTime
mm_peer_links_responses_known_until(const MmPeerLinks *links) {
  const MmReplica *replica = links->node->replica;
  MmTime known_until = replica->current_as_of;

  for (guint i = 0; i < links->n_peers; i++) {
    const MmPeer *peer = &links->peers[i];
    const MmLiveNode *live_node = g_hash_table_lookup(replica->live_nodes, peer->label.s);
    if (live_node == NULL)
      continue;
    /* A pong from another incarnation of the peer does not cover the current incarnation. The
     * current incarnation must be assumed to answer workers even if it sends nothing. */
    if (live_node->lease_id != peer->lease_id)
      return (MmTime){ 0 };
    known_until = mm_time_min(known_until, peer->responses_known_until);
  }
  return known_until;
}

MmTime
mm_peer_links_last_refused_at(const MmPeerLinks *links) {
  MmTime last = { 0 };

  for (guint i = 0; i < links->n_peers; i++)
    last = mm_time_max(last, links->peers[i].last_refused_at);
  return last;
}

MmTime
mm_peer_links_last_served_at(const MmPeerLinks *links) {
  MmTime last = { 0 };

  for (guint i = 0; i < links->n_peers; i++)
    last = mm_time_max(last, links->peers[i].last_served_at);
  return last;
}

gboolean
mm_peer_links_peer_serves_workers(const MmPeerLinks *links, guint peer) {
  const MmPeer *peer_state = &links->peers[peer];

  return peer_state->is_up && peer_state->serves_workers
         && mm_time_ms_since(mm_node_now(links->node), peer_state->last_pong_at)
                <= PONG_VALIDITY_MS;
}

gint
mm_peer_links_least_loaded(const MmPeerLinks *links) {
  gint best = MM_PEER_NONE;

  for (guint i = 0; i < links->n_peers; i++) {
    const MmPeer *peer = &links->peers[i];
    if (!mm_peer_links_peer_serves_workers(links, i))
      continue;
    if (best < 0 || peer->n_machines < links->peers[best].n_machines)
      best = (gint)i;
  }
  return best;
}

/* Records when the key-value store last served the peer, assuming that the message took no time.
 * This assumption gives the latest possible instant. An earlier instant could wrongly prove an
 * outage. Each message replaces the recorded instant, because the recorded instant is too late if
 * the earlier message was delayed. */
static void
record_kv_served(MmPeerLinks *links, guint peer, guint32 served_age_plus_one_ms) {
  if (served_age_plus_one_ms > 0)
    links->peers[peer].last_served_at
        = mm_time_add_ms(mm_node_now(links->node), 1 - (gint64)served_age_plus_one_ms);
}

/* Records when the key-value store last refused the peer, assuming that the peer sent the pong at
 * the time at which this node sent the ping. This assumption gives the earliest possible instant. A
 * later instant could wrongly prove an outage, because the pong may have been delayed, or have
 * remained unread while this node was suspended. A ping from the peer carries no refusal, because
 * this node knows no lower bound of the time at which the peer sent that ping. */
static void
record_kv_refused(MmPeerLinks *links, guint peer, MmTime ping_sent_at,
                  guint32 refused_age_plus_one_ms) {
  MmPeer *peer_state = &links->peers[peer];

  if (refused_age_plus_one_ms > 0)
    peer_state->last_refused_at
        = mm_time_max(peer_state->last_refused_at,
                      mm_time_add_ms(ping_sent_at, -(gint64)refused_age_plus_one_ms));
}

static void
send_pong(MmPeerLinks *links, guint peer, const Mm__Ping *ping) {
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Pong pong = MM__PONG__INIT;

  /* The pending batch must be sent before the pong, because the peer concludes from the pong that
   * it knows all responses that this node gave before the ping was sent. */
  mm_peer_broadcast_repeat_heartbeats(links);
  pong.ping_sent_at_us = ping->sent_at_us;
  pong.refused_age_plus_one_ms = age_plus_one_ms(links, links->node->kv->last_refused_at);
  pong.served_age_plus_one_ms = age_plus_one_ms(links, links->node->kv->last_served_at);
  pong.lease_id = links->node->node_lease->lease_id;
  pong.serves_workers = mm_node_lease_may_answer_workers(links->node->node_lease);
  pong.n_machines = mm_heartbeat_server_served_machines(links->node->heartbeat_server);
  frame.body_case = MM__FRAME__BODY_PONG;
  frame.pong = &pong;
  mm_peer_links_send(links, peer, &frame);
}

void
mm_peer_links_ping_received(MmPeerLinks *links, guint peer, const Mm__Ping *ping) {
  record_kv_served(links, peer, ping->served_age_plus_one_ms);
  send_pong(links, peer, ping);
}

void
mm_peer_links_pong_received(MmPeerLinks *links, guint peer_index, const Mm__Pong *pong) {
  MmPeer *peer = &links->peers[peer_index];
  MmTime ping_sent_at = { (gint64)pong->ping_sent_at_us };

  record_kv_served(links, peer_index, pong->served_age_plus_one_ms);
  record_kv_refused(links, peer_index, ping_sent_at, pong->refused_age_plus_one_ms);
  peer->last_pong_at = mm_node_now(links->node);
  peer->silent_us = 0;
  peer->serves_workers = pong->serves_workers;
  peer->n_machines = pong->n_machines;
  if (peer->lease_id != pong->lease_id)
    peer->responses_known_until.us = 0;
  peer->lease_id = pong->lease_id;
  peer->responses_known_until = mm_time_max(peer->responses_known_until, ping_sent_at);
}

/* Reopens connections on which no pong has arrived for too long. A peer whose machine loses power
 * leaves a half-open connection, over which TCP retransmits at growing intervals for minutes.
 * Without a reconnect, a restarted peer would receive nothing from this node in that time. The
 * shards that the restarted peer acquired would not become ready, because machines'
 * acknowledgements that only this node received would not reach that peer. */
static void
reconnect_silent_peers(MmPeerLinks *links, MmTime now) {
  gint64 elapsed_us = MIN(now.us - links->last_tick_at.us, TICK_GAP_MAX_MS * 1000);
  gint64 silence_limit_ms = MAX(
      (gint64)(links->node->operators->peer_ping_interval_s * 1000 * SILENCE_LIMIT_PING_INTERVALS),
      SILENCE_LIMIT_MIN_MS);

  links->last_tick_at = now;
  for (guint i = 0; i < links->n_peers; i++) {
    MmPeer *peer = &links->peers[i];
    if (!peer->is_connected)
      continue;
    peer->silent_us += elapsed_us;
    if (peer->silent_us < silence_limit_ms * 1000)
      continue;
    mm_info("peer link reconnecting, no pong on the open connection peer=%s silent_s=%.1f",
            peer->label.s, (double)peer->silent_us / G_USEC_PER_SEC);
    links->node->platform.reconnect(links->node->platform.context, i);
  }
}

void
mm_peer_links_tick(MmPeerLinks *links) {
  MmTime now = mm_node_now(links->node);

  reconnect_silent_peers(links, now);
  if (mm_time_ms_since(now, links->repeat_heartbeats_sent_at) >= REPEAT_HEARTBEATS_INTERVAL_MS)
    mm_peer_broadcast_repeat_heartbeats(links);
  if (mm_time_before(now, links->next_ping_at))
    return;
  links->next_ping_at
      = mm_time_add_ms(now, (gint64)(links->node->operators->peer_ping_interval_s * 1000));
  for (guint i = 0; i < links->n_peers; i++)
    send_ping(links, i);
}

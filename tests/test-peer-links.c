/* Links between nodes. What a node concludes from its peers' frames must be proved by these frames,
 * even if links fail and come back, and however late the node reads the frames. */
#include "machines/registry.h"
#include "peers/peer-links.h"
#include "node/peer-receiver.h"
#include "kv/kv-client.h"
#include "world/world.h"

static World *
new_world_with_two_machines(guint32 seed) {
  World *world = world_new(seed);

  world_add_machines(world, 2, "small", 1);
  world_start(world);
  world_run(world, 8);
  return world;
}

/* Returns the index of the node that serves the machine according to the node's own machine
 * table. */
static guint
find_serving_node(World *world, const char *id) {
  for (guint i = 0; i < WORLD_NODES; i++) {
    const MmMachine *machine = mm_machine_table_find(world->nodes[i].node->machine_table, id);
    if (machine != NULL && machine->serving_node == MM_SERVING_NODE_SELF)
      return i;
  }
  g_assert_not_reached();
}

static MmHeartbeat
next_heartbeat(const MmMachine *machine, gboolean direct) {
  return (MmHeartbeat){ .machine_id = machine->id,
                        .type = machine->type_name,
                        .zone = machine->zone,
                        .heartbeat_id = { machine->latest_message_id.incarnation,
                                          machine->latest_message_id.sequence + 100 },
                        .fencing_token = machine->acknowledged_term,
                        .is_direct_reply = direct,
                        .tasks = g_array_new(FALSE, TRUE, sizeof(MmReportedTask)) };
}

static void
suspend_workers(World *world) {
  for (guint i = 0; i < world->machines->len; i++)
    world_machine_at(world, i)->suspended_until_us = world->now_us + 100 * (gint64)G_USEC_PER_SEC;
}

/* Records a heartbeat as if the node received it now. Takes ownership of the heartbeat. */
static void
receive_heartbeat(MmNode *node, MmHeartbeat heartbeat) {
  mm_machine_table_record_heartbeat(node->machine_table, &heartbeat, mm_node_now(node),
                                    MM_SERVING_NODE_SELF);
  mm_heartbeat_clear(&heartbeat);
}

/* While links are refused, one node restarts and then receives only a direct reply from a machine.
 * The reply does not make the restarted node the serving node of the machine. The node that does
 * answer the machine believes that another node serves the machine. The answering node must
 * nevertheless announce its responses once the links are up again; otherwise the other nodes would
 * count running machines as lost. */
static void
test_answered_machines_are_announced_on_a_new_link(void) {
  World *world = new_world_with_two_machines(3);
  const char *id = world_machine_at(world, 0)->id;
  guint serving_node = find_serving_node(world, id), restarted = (serving_node + 1) % WORLD_NODES;
  MmNode *node;
  MmMachine *machine;
  MmHeartbeat heartbeat;
  MmTime last_response_at_load;

  /* The cloud is down. Therefore no node can return the machine to the cloud. */
  world->cloud_down_until_us = G_MAXINT64;
  world_refuse_links(world, 12);
  world_kill_node(world, restarted, 0.2);
  world_run(world, 1);
  node = world->nodes[restarted].node;
  machine = mm_machine_table_find(node->machine_table, id);
  g_assert_nonnull(machine);
  last_response_at_load = machine->last_possible_response_at;
  world_run(world, 8);
  /* The machine sends no heartbeats from here on. */
  suspend_workers(world);
  world_run(world, 0.1);
  g_assert_cmpint(find_serving_node(world, id), ==, serving_node);
  receive_heartbeat(node, next_heartbeat(machine, TRUE));
  g_assert_cmpint(machine->serving_node, ==, MM_SERVING_NODE_NONE);
  /* Nodes of an earlier release forward the direct reply as a heartbeat that the restarted node
   * received. */
  heartbeat = next_heartbeat(machine, FALSE);
  mm_machine_table_record_heartbeat(world->nodes[serving_node].node->machine_table, &heartbeat,
                                    (MmTime){ 1 }, 0);
  mm_heartbeat_clear(&heartbeat);
  g_assert_cmpint(
      mm_machine_table_find(world->nodes[serving_node].node->machine_table, id)->serving_node, ==,
      0);
  g_assert_cmpint(machine->last_possible_response_at.us, ==, last_response_at_load.us);
  world_run(world, 4);
  g_assert_true(node->peer_links->peers[0].is_up && node->peer_links->peers[1].is_up);
  g_assert_cmpint(machine->last_possible_response_at.us, >,
                  last_response_at_load.us + 6 * G_USEC_PER_SEC);
  world_free(world);
}

/* The proof of an outage depends on the age of refusals. A refusal that a pong reports dates from
 * the ping. A refusal that the node received itself dates from the node's own request. The time of
 * receipt would be too late, because pongs may be delayed, and because both pongs and refusals
 * stay unread while the node is suspended. */
static void
test_refusals_are_as_old_as_their_requests(void) {
  World *world = new_world_with_two_machines(4);
  MmNode *node = world->nodes[0].node;
  Mm__Frame frame = MM__FRAME__INIT;
  Mm__Pong pong = MM__PONG__INIT;
  MmTime pinged_at = mm_time_add_ms(mm_node_now(node), -5000);

  pong.ping_sent_at_us = (guint64)pinged_at.us;
  pong.refused_age_plus_one_ms = 1;
  frame.body_case = MM__FRAME__BODY_PONG;
  frame.pong = &pong;
  g_assert_cmpint(mm_peer_links_last_refused_at(node->peer_links).us, ==, 0);
  mm_peer_links_receive(node->peer_links, 0, &frame);
  g_assert_cmpint(mm_peer_links_last_refused_at(node->peer_links).us, >, 0);
  g_assert_cmpint(mm_peer_links_last_refused_at(node->peer_links).us, <=, pinged_at.us);

  world->nodes[0].kv_refuses_until_us = world->now_us + G_USEC_PER_SEC;
  world_run(world, 0.9);
  mm_kv_client_get(node->kv, MM_KEY_NEVER_WRITTEN, "", NULL, NULL);
  world_suspend_node(world, 0, 5);
  world_run(world, 5.02);
  g_assert_cmpint(node->kv->last_refused_at.us, >, 0);
  g_assert_cmpint(mm_time_ms_since(mm_node_now(node), node->kv->last_refused_at), >=, 4900);
  world_free(world);
}

/* An incarnation that is seen for the first time counts as answered at that time, and therefore
 * lives for one lease. This holds however long ago the machine was last answered, and whether a
 * direct reply or only the registry shows the incarnation. Otherwise machines of a zone that
 * reconnects would be counted as lost shortly afterwards, and their tasks would run twice. */
static void
test_new_incarnation_lives_for_a_lease(void) {
  World *world = new_world_with_two_machines(7);
  const char *id = world_machine_at(world, 0)->id;
  MmNode *node_with_reply = world->nodes[0].node, *node_with_registration = world->nodes[1].node;
  MmMachine *machine = mm_machine_table_find(node_with_reply->machine_table, id);
  MmHeartbeat heartbeat = next_heartbeat(machine, TRUE);
  MmTime response_before = machine->last_possible_response_at;
  MmRegistryEntry entry;

  world->now_us += 2 * (gint64)G_USEC_PER_SEC;
  mm_machine_table_record_heartbeat(node_with_reply->machine_table, &heartbeat,
                                    mm_node_now(node_with_reply), MM_SERVING_NODE_NONE);
  g_assert_cmpint(machine->last_possible_response_at.us, ==, response_before.us);
  heartbeat.heartbeat_id.incarnation++;
  mm_machine_table_record_heartbeat(node_with_reply->machine_table, &heartbeat,
                                    mm_node_now(node_with_reply), MM_SERVING_NODE_NONE);
  g_assert_cmpint(machine->last_possible_response_at.us, ==, mm_node_now(node_with_reply).us);
  mm_heartbeat_clear(&heartbeat);

  machine = mm_machine_table_find(node_with_registration->machine_table, id);
  response_before = machine->last_possible_response_at;
  entry = (MmRegistryEntry){ .machine_id = machine->id,
                             .incarnation = machine->latest_message_id.incarnation };
  mm_machine_table_record_registration(node_with_registration->machine_table, &entry);
  g_assert_cmpint(machine->last_possible_response_at.us, ==, response_before.us);
  entry.incarnation++;
  mm_machine_table_record_registration(node_with_registration->machine_table, &entry);
  g_assert_cmpint(machine->last_possible_response_at.us, ==,
                  mm_node_now(node_with_registration).us);
  world_free(world);
}

/* A direct reply can be newer than the machine's latest heartbeat. The response to that heartbeat
 * may still be in flight with a start. When a link comes up, the peer must not take the direct
 * reply for a heartbeat; otherwise the peer would conclude that the start was not executed. */
static void
test_direct_reply_stays_one_on_a_new_link(void) {
  World *world = new_world_with_two_machines(8);
  const char *id = world_machine_at(world, 0)->id;
  guint serving_node = find_serving_node(world, id), other = (serving_node + 1) % WORLD_NODES;
  MmNode *node = world->nodes[serving_node].node;
  MmMachine *machine = mm_machine_table_find(node->machine_table, id);
  const MmMachine *peer_machine
      = mm_machine_table_find(world->nodes[other].node->machine_table, id);
  MmHeartbeat heartbeat;

  suspend_workers(world);
  world_run(world, 0.5);
  heartbeat = next_heartbeat(machine, TRUE);
  mm_machine_table_record_heartbeat(node->machine_table, &heartbeat, mm_node_now(node),
                                    MM_SERVING_NODE_NONE);
  for (guint i = 0; i < WORLD_NODES - 1; i++)
    node->platform.reconnect(node->platform.context, i);
  world_run(world, 1.5);
  g_assert_cmpuint(peer_machine->latest_message_id.sequence, ==, heartbeat.heartbeat_id.sequence);
  g_assert_true(
      mm_heartbeat_id_is_newer(heartbeat.heartbeat_id, peer_machine->latest_heartbeat_id));
  g_assert_cmpint(mm_time_ms_since(mm_node_now(world->nodes[other].node),
                                   peer_machine->last_possible_response_at),
                  <, 2500);
  mm_heartbeat_clear(&heartbeat);
  world_free(world);
}

/* The computer of a node loses power, and the node returns much later. The node's peers see no
 * link closed. The peers must reconnect, because links that only look open deliver nothing for
 * minutes. Without a reconnection, the peers would announce no machines to the returned node, and
 * the shards that the node acquires would wait for these machines. */
static void
test_half_open_links_are_opened_anew(void) {
  World *world = new_world_with_two_machines(5);
  const MmPeerLinks *links;

  world->node_ends_leave_half_open_links = TRUE;
  world_kill_node(world, 2, 40);
  world_run(world, 39);
  g_assert_cmpuint(world->n_reconnects, >=, 2);
  world_run(world, 3.5);
  links = world->nodes[2].node->peer_links;
  g_assert_true(links->peers[0].is_up && links->peers[1].is_up);
  g_assert_cmpint(mm_time_ms_since(mm_node_now(world->nodes[2].node),
                                   mm_peer_links_responses_known_until(links)),
                  <, 3000);
  world_assert_invariants(world);
  world_free(world);
}

/* On links opened while a peer is suspended, the other nodes send the peer only a hello and pings.
 * When the peer resumes, they send it all the state that it needs before any pong. */
static void
test_suspended_peer_is_updated_when_it_resumes(void) {
  World *world = new_world_with_two_machines(6);
  const char *id = world_machine_at(world, 0)->id;
  guint serving_node = find_serving_node(world, id), suspended = (serving_node + 1) % WORLD_NODES;
  const MmPeer *peer = NULL;
  guint64 frames_before;

  for (guint i = 0; i < WORLD_NODES - 1; i++)
    if (mm_name_equal(&world->nodes[serving_node].node->peer_links->peers[i].label,
                      &world->nodes[suspended].node->settings->label))
      peer = &world->nodes[serving_node].node->peer_links->peers[i];
  world_suspend_node(world, suspended, 20);
  world_run(world, 12);
  g_assert_cmpuint(world->n_reconnects, >=, 2);
  g_assert_true(peer->is_connected && !peer->is_up);
  frames_before = world->nodes[serving_node].node->peer_links->n_frames_sent;
  world_run(world, 1);
  g_assert_cmpuint(world->nodes[serving_node].node->peer_links->n_frames_sent - frames_before, <,
                   40);
  world_run(world, 9);
  g_assert_true(peer->is_up);
  g_assert_cmpint(
      mm_time_ms_since(mm_node_now(world->nodes[suspended].node),
                       mm_machine_table_find(world->nodes[suspended].node->machine_table, id)
                           ->last_possible_response_at),
      <, 4000);
  world_assert_invariants(world);
  world_free(world);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/peer-links/answered-machines-are-announced-on-a-new-link",
                  test_answered_machines_are_announced_on_a_new_link);
  g_test_add_func("/peer-links/new-incarnation-lives-for-a-lease",
                  test_new_incarnation_lives_for_a_lease);
  g_test_add_func("/peer-links/refusals-are-as-old-as-their-requests",
                  test_refusals_are_as_old_as_their_requests);
  g_test_add_func("/peer-links/direct-reply-stays-one-on-a-new-link",
                  test_direct_reply_stays_one_on_a_new_link);
  g_test_add_func("/peer-links/half-open-links-are-opened-anew",
                  test_half_open_links_are_opened_anew);
  g_test_add_func("/peer-links/suspended-peer-is-updated-when-it-resumes",
                  test_suspended_peer_is_updated_when_it_resumes);
  return g_test_run();
}

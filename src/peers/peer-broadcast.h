/* Sends peers this node's responses to workers, job cancellations, terminations of machines, and
 * commands for machines that a peer answers.
 *
 * Frames go only to peers whose link is up. When the link to a peer comes up later, the peer
 * receives the responses that it missed from mm_peer_links_send_recent_responses. */
#pragma once

#include "peers/peer-links.h"

/* Announces a heartbeat that this node has received and is about to answer. `is_answered`: the
 * answer has status 200. A heartbeat that shows a change, or for which `is_answered` is FALSE, is
 * sent at once and in full. Any other heartbeat is added to the next batch of RepeatHeartbeats. */
void mm_peer_broadcast_heartbeat(MmPeerLinks *links, MmMachine *machine, gboolean is_answered);
/* Announces the machine's state as shown by a direct reply. From the reply, peers take the term
 * that the machine has acknowledged. Peers do not count the reply as a heartbeat. */
void mm_peer_broadcast_direct_reply(MmPeerLinks *links, MmMachine *machine);
/* Announces that this node answered the machine's unverified heartbeat. The announcement is sent
 * with the next batch of RepeatHeartbeats. */
void mm_peer_broadcast_unverified(MmPeerLinks *links, const MmName *machine);
/* Sends the pending batch of heartbeats without changes and of unverified machines. */
void mm_peer_broadcast_repeat_heartbeats(MmPeerLinks *links);
/* Announces that the job's cancellation has been committed to the key-value store. */
void mm_peer_broadcast_cancellation(MmPeerLinks *links, const char *job);
/* Announces that the cloud has confirmed the termination of the machine. */
void mm_peer_broadcast_machine_gone(MmPeerLinks *links, const char *machine);

/* The functions below send to one peer. */

/* Sends the peer commands for a machine whose heartbeats the peer answers. `commands`: MmCommand,
 * only stops and clean-ups. */
void mm_peer_links_send_commands(MmPeerLinks *links, guint peer, const MmMachine *machine,
                                 const GArray *commands);
/* Sends the peer every response that this node gave to workers within the last two worker
 * leases. */
void mm_peer_links_send_recent_responses(MmPeerLinks *links, guint peer);
/* Announces the job's cancellation to the peer, as mm_peer_broadcast_cancellation does to all
 * peers. */
void mm_peer_links_send_cancellation(MmPeerLinks *links, guint peer, const char *job);
/* Confirms to the peer that this node has recorded the cancellation: from now on each of its
 * responses to workers stops the job's tasks. */
void mm_peer_links_send_cancellation_ack(MmPeerLinks *links, guint peer, const char *job);

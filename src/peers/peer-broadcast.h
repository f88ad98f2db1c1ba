/* What this node sends its peers: responses to workers, cancellations, machines that are gone, and
 * commands for machines that a peer answers. Frames go to peers whose link is up; a peer whose link
 * comes up later is sent what it missed by mm_peer_links_send_recent_responses. */
#pragma once

#include "peers/peer-links.h"

/* A heartbeat was received here and is about to be answered: sent whole when it shows anything new
 * or is not answered 200, else in one of the batches that keep peers informed of who was answered.
 */
void mm_peer_broadcast_heartbeat(MmPeerLinks *links, MmMachine *machine, gboolean is_answered);
/* What a direct reply showed: it acknowledges a term, and proves nothing else. */
void mm_peer_broadcast_direct_reply(MmPeerLinks *links, MmMachine *machine);
/* The machine was answered, though its heartbeat is unverified; goes with the next batch. */
void mm_peer_broadcast_unverified(MmPeerLinks *links, const MmName *machine);
/* Sends the batch of heartbeats that showed nothing new, and of unverified machines. */
void mm_peer_broadcast_repeat_heartbeats(MmPeerLinks *links);
/* The job's cancellation is in the key-value store. */
void mm_peer_broadcast_cancellation(MmPeerLinks *links, const char *job);
/* The cloud has proved that the machine is gone. */
void mm_peer_broadcast_machine_gone(MmPeerLinks *links, const char *machine);

/* To one peer. */
/* MmCommand, stops and clean-ups only, for a machine that the peer answers. */
void mm_peer_links_send_commands(MmPeerLinks *links, guint peer, const MmMachine *machine,
                                 const GArray *commands);
/* Every response that this node has given within two leases. */
void mm_peer_links_send_recent_responses(MmPeerLinks *links, guint peer);
void mm_peer_links_send_cancellation(MmPeerLinks *links, guint peer, const char *job);
/* This node knows of the cancellation: each of its responses to workers stops the job's tasks. */
void mm_peer_links_send_cancellation_ack(MmPeerLinks *links, guint peer, const char *job);

/*
 * Evacuations at a node: how it learns the orders, and what they change at its own gate.
 */
#ifndef FESCUEMILLD_NODE_NODE_EVACUATION_H
#define FESCUEMILLD_NODE_NODE_EVACUATION_H

#include "fescuemilld/node/node_defs.h"

/* Opens the list-and-watch of the orders if the setting evacuation_ms is set; otherwise nothing of
 * this file does anything. Gossip, the entry and the gate must be open. */
int node_evacuation_open(struct node *node, const struct session_limits *limits, uint64_t seed,
			 struct error *err);
/* Applies changed orders and decides whether this node asks the store. To be called by every
 * housekeeping. */
void node_evacuation_tick(struct node *node, bool is_watcher, uint64_t now_us);
/* Records that the process was paused: orders may have been missed. */
void node_evacuation_paused(struct node *node, uint64_t now_us);
/* Returns false while orders may be in force that this process has not learned since its start or
 * its last pause. */
bool node_evacuation_is_known(const struct node *node);
/* Returns REASON_NONE if a new call may run at this node's gate, or why it is refused. */
enum call_reason node_evacuation_refusal(struct node *node, const struct message *msg);
/* Returns the state of the backend server to announce by gossip: not ready before the orders are
 * known, since the gate refuses calls until then. */
enum backend_state node_evacuation_backend_state(const struct node *node);
/* Returns this node's member record for the roster, with the state as announced: an evacuation of a
 * domain costs no writes of its roster. */
struct member node_evacuation_roster_entry(const struct node *node);

#endif

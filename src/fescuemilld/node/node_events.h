/*
 * Node events: changes of the node's state, and the callbacks that the parts of a node call. `user`
 * is the node.
 */
#ifndef FESCUEMILLD_NODE_NODE_EVENTS_H
#define FESCUEMILLD_NODE_NODE_EVENTS_H

#include "fescuemilld/node/node_defs.h"

void node_apply_input(struct node *node, enum node_input input);
void node_detect_stall(struct node *node, uint64_t now_us);
void node_apply_config(struct node *node);

enum call_reason node_refusal_reason(void *user);
bool node_has_time_for(void *user, uint64_t time_left_us);
uint32_t node_repeat_permille(void *user);
bool node_is_ready(void *user);
bool node_region_is_usable(void *user, const char *region);
void node_on_gate_unreachable(void *user, uint64_t node_id);
void node_on_new_gate_incarnation(void *user, const struct node_incarnation *identity);
bool node_on_new_own_incarnation(void *user, uint64_t incarnation);
void node_on_newer_config(void *user, uint64_t node_id, uint64_t version);
void node_on_crashes(void *user, const uint8_t *data, size_t size);
void node_on_allotment(void *user, uint64_t node_id, const uint8_t *data, size_t size);
void node_on_demand(void *user, uint64_t node_id, const uint8_t *data, size_t size);
void node_on_announcement(void *user, const struct announcement *now);
void node_on_heartbeat(void *user, const struct announcement *heard);
void node_on_backend_found(void *user, const struct backend_load *load);
void node_on_backend_refused(void *user);
void node_on_backend_unreachable(void *user);
void node_on_backend_leaving(void *user, uint64_t started_ms);
uint32_t node_slots_in_use(void *user);
void node_on_message(void *user, const struct channel_route *from, const struct message *msg);
void node_on_reading(void *user, bool is_reading);
void node_on_config_applied(void *user);
void node_on_config_batch(void *user, uint64_t from, json_t *root);
const char *node_state_name(void *user);
const struct member *node_self(void *user);

#endif

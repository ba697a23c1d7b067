/*
 * Links from the entry to gates, found by the gate's node id. A link has one connection for calls
 * and one for large bodies, each with its own epochs and heartbeats.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_LINK_H
#define FESCUEMILLD_ENTRY_ENTRY_LINK_H

#include "fescuemilld/entry/entry_defs.h"

struct gate_link *entry_link_get(struct entry *entry, const struct node_incarnation *gate,
				 struct error *err);
int entry_link_prepare(struct gate_conn *conn, struct error *err);
int entry_link_send(struct gate_conn *conn, struct message *msg, struct error *err);
/* Sends an attempt, whatever the size of its body. If an error is returned, it does not run. */
int entry_link_send_call(struct gate_conn *conn, struct message *msg, struct error *err);
void entry_link_add_call(struct gate_conn *conn, struct entry_call *call);
void entry_link_remove_call(struct entry_call *call);
void entry_links_tick(struct entry *entry);
void entry_links_sweep(struct entry *entry);
void entry_links_free(struct entry *entry);

#endif

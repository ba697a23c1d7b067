/*
 * Key members: the members of a service from which the owners of keys are chosen. Members that
 * announced that they leave, or that they are evacuated, are distinguished from members that died.
 */
#ifndef FESCUEMILLD_NODE_KEY_MEMBERS_H
#define FESCUEMILLD_NODE_KEY_MEMBERS_H

#include "fescuemill/decide/key.h"
#include "fescuemill/fleet/evacuation.h"
#include "fescuemill/fleet/member.h"

struct key_members;

int key_members_open(struct key_members **out, const struct member_table *table,
		     const struct evacuation_table *evacuations, struct error *err);
void key_members_close(struct key_members *km);
/* Records the members that are leaving; to be called when the member table has changed. */
void key_members_record_leaving(struct key_members *km);
/* Sets the members of a service in its key table. Leaves the table as it is if out of memory. */
void key_members_apply(const struct key_members *km, const char *service, struct key_table *keys,
		       uint64_t now_ms);

#endif

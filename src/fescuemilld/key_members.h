/*
 * Key members: the members of a service as the homes of keyed calls need them, with those that said
 * goodbye told apart from those that died.
 */
#ifndef FESCUEMILLD_KEY_MEMBERS_H
#define FESCUEMILLD_KEY_MEMBERS_H

#include "fescuemill/decide/key.h"
#include "fescuemill/fleet/member.h"

struct key_members;

int key_members_open(struct key_members **out, const struct member_table *table, struct error *err);
void key_members_close(struct key_members *km);
/* Notes who is leaving; call it when the member table has changed. */
void key_members_note(struct key_members *km);
/* Lists the members of a service and sets them; does nothing without memory. */
void key_members_apply(const struct key_members *km, const char *service, struct key_table *keys,
		       uint64_t now_ms);

#endif

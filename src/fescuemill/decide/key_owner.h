/*
 * View of the members of a service, from which the owner of each key is chosen. Used by key.c only.
 */
#ifndef FESCUEMILL_DECIDE_KEY_OWNER_H
#define FESCUEMILL_DECIDE_KEY_OWNER_H

#include "fescuemill/decide/key.h"

/* A present or departed member of the service. */
struct key_view_member {
	uint64_t node_id;
	uint64_t state_since_ms; /* when it entered its current state */
	uint64_t last_alive_ms;	 /* when it was last seen alive; 0: never */
	enum key_member_state state;
};

struct key_view {
	struct key_view_member *members;
	uint32_t count;
	uint32_t capacity;
	uint64_t no_majority_since_ms; /* since when at most half of the members live; 0: more do */
	uint64_t last_contact_ms;      /* when at least half of the members were last seen alive */
	uint64_t complete_since_ms;    /* before it, other nodes may have run calls with this node's
					  keys */
};

int key_view_init(struct key_view *view, uint32_t capacity, struct error *err);
void key_view_release(struct key_view *view);
int key_view_set(struct key_view *view, const struct key_settings *settings,
		 const struct key_member *members, uint32_t count, uint64_t now_ms,
		 struct error *err);
const struct key_view_member *key_view_owner(const struct key_view *view,
					     const struct key_settings *settings,
					     const struct key_hash *hash, uint64_t now_ms);
uint64_t key_view_acquired_ms(const struct key_view *view, const struct key_settings *settings,
			      const struct key_hash *hash, uint64_t now_ms);
bool key_view_may_serve(const struct key_view *view, const struct key_settings *settings,
			const struct key_hash *hash, uint64_t now_ms);

#endif

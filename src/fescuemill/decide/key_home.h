/*
 * The members of a service among which keys have their homes. Used by key.c only.
 */
#ifndef FESCUEMILL_DECIDE_KEY_HOME_H
#define FESCUEMILL_DECIDE_KEY_HOME_H

#include "fescuemill/decide/key.h"

/* A member, now or departed. */
struct key_seat {
	uint64_t node_id;
	uint64_t since_ms; /* when it came to its present state */
	uint64_t alive_ms; /* when it was last known to be alive; 0: never */
	enum key_member_state state;
};

struct key_view {
	struct key_seat *seats;
	uint32_t count;
	uint32_t capacity;
	uint64_t no_majority_ms; /* since when at most half of the members is alive; 0: more are */
	uint64_t contact_ms;	 /* when at least half was last seen alive */
	uint64_t complete_ms;	 /* what happened elsewhere before is not known here */
};

int key_view_init(struct key_view *view, uint32_t capacity, struct error *err);
void key_view_release(struct key_view *view);
int key_view_set(struct key_view *view, const struct key_settings *settings,
		 const struct key_member *members, uint32_t count, uint64_t now_ms,
		 struct error *err);
const struct key_seat *key_view_home(const struct key_view *view,
				     const struct key_settings *settings,
				     const struct key_hash *hash, uint64_t now_ms);
uint64_t key_view_moved_ms(const struct key_view *view, const struct key_settings *settings,
			   const struct key_hash *hash, uint64_t now_ms);
bool key_view_may_serve(const struct key_view *view, const struct key_settings *settings,
			const struct key_hash *hash, uint64_t now_ms);

#endif

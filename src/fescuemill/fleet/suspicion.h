/*
 * Suspicion: since when members are suspect or dead, and which of them are due: a suspect that did
 * not refute is dead; one dead for long is forgotten.
 */
#ifndef FESCUEMILL_FLEET_SUSPICION_H
#define FESCUEMILL_FLEET_SUSPICION_H

#include "fescuemill/fleet/gossip_defs.h"

struct suspicion {
	uint64_t node_id;
	uint64_t since_us;
	enum member_state state; /* MEMBER_SUSPECT or MEMBER_DEAD */
};

struct suspicion_list {
	uint32_t count;
	struct suspicion items[FLEET_MEMBERS_MAX];
};

/* Notes a member's state; one that is neither suspect nor dead is taken off. */
void suspicion_note(struct suspicion_list *list, uint64_t node_id, enum member_state state,
		    uint64_t now_us);
/* Takes off and gives one entry that is due, or returns false. */
bool suspicion_next_due(struct suspicion_list *list, uint64_t now_us, struct suspicion *due);
/* Gives suspects the time back that this process was paused. */
void suspicion_shift(struct suspicion_list *list, uint64_t pause_us);

#endif

/*
 * Suspicions: since when members are suspect or dead. A suspect that does not refute within
 * GOSSIP_SUSPECT_TIMEOUT_US is due to be declared dead; a member that has been dead for
 * GOSSIP_DEAD_RETENTION_US is due to be removed.
 */
#ifndef FESCUEMILL_FLEET_SUSPICION_H
#define FESCUEMILL_FLEET_SUSPICION_H

#include "fescuemill/fleet/gossip_defs.h"

struct suspicion {
	uint64_t node_id;
	uint64_t since_us;	 /* start of this state, moved forward by pauses */
	enum member_state state; /* MEMBER_SUSPECT or MEMBER_DEAD */
};

struct suspicion_list {
	uint32_t count;
	struct suspicion items[FLEET_MEMBERS_MAX];
};

/* Records a member's state; the entry of a member that is neither suspect nor dead is removed. */
void suspicion_record(struct suspicion_list *list, uint64_t node_id, enum member_state state,
		      uint64_t now_us);
/* Removes one entry that is due and copies it to `due`; returns false if there is none. */
bool suspicion_next_due(struct suspicion_list *list, uint64_t now_us, struct suspicion *due);
/* Extends all time limits by a pause of this process. */
void suspicion_extend(struct suspicion_list *list, uint64_t pause_us);

#endif

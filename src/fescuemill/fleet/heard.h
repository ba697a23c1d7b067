/*
 * Heard: which version of the configuration each member last said that it has, in a packet of its
 * own. A member that once had a version keeps it for this incarnation, so that old word of "has it"
 * stays true; old word of "lacks it" only says that nothing newer was heard.
 */
#ifndef FESCUEMILL_FLEET_HEARD_H
#define FESCUEMILL_FLEET_HEARD_H

#include "fescuemill/decide/call_defs.h"
#include "fescuemill/fleet/member_defs.h"

#define HEARD_PLACES_MIN 64U
#define HEARD_PLACES_MAX (2U * FLEET_MEMBERS_MAX) /* powers of two */

struct heard {
	struct node_incarnation identity; /* node_id 0: empty */
	uint64_t config_version;
	uint64_t heard_us;
};

struct heard_table {
	uint32_t count;
	uint32_t place_count;
	struct heard *places;
};

/* Notes what a member said. The table, zeroed at first, grows; above FLEET_MEMBERS_MAX nodes, or
 * without memory, everything is forgotten, to be heard again. */
void heard_note(struct heard_table *table, const struct node_incarnation *identity,
		uint64_t config_version, uint64_t now_us);
/* Gives the last word of this incarnation of a member, or NULL. */
const struct heard *heard_find(const struct heard_table *table,
			       const struct node_incarnation *identity);
void heard_close(struct heard_table *table);

#endif

/*
 * Key members: the members of a service from which the owners of keys are chosen. A member that was
 * seen leaving has given up its keys itself; this still holds when the same incarnation is dead
 * later. So has a member of an evacuated failure domain once it announces that its backend server
 * drains: before, it may not know the order yet and may still run calls with its keys.
 */
#include "fescuemilld/node/key_members.h"

#include "fescuemill/base/log.h"
#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>

struct key_members {
	const struct member_table *table;
	const struct evacuation_table *evacuations;
	uint64_t revision;   /* of the member table and the evacuations when they were last read */
	struct slot_map map; /* finds the slot of a node id in `left` */
	/* Latest incarnation of each node that was seen leaving. */
	struct node_incarnation left[FLEET_MEMBERS_MAX];
};

/* Creates an empty list of leaving members. Errors: ERROR_MEMORY. */
int key_members_open(struct key_members **out, const struct member_table *table,
		     const struct evacuation_table *evacuations, struct error *err)
{
	struct key_members *km = calloc(1, sizeof(*km));

	if (!km)
		return error_set(err, ERROR_MEMORY, "no memory for the owners of keys");
	km->table = table;
	km->evacuations = evacuations;
	km->revision = UINT64_MAX;
	if (slot_map_init(&km->map, FLEET_MEMBERS_MAX, err) != 0) {
		free(km);
		return -1;
	}
	*out = km;
	return 0;
}

void key_members_close(struct key_members *km)
{
	slot_map_release(&km->map);
	free(km);
}

/* Returns the slot of a node that was seen leaving in any of its incarnations, or SLOT_NONE. */
static uint32_t find_left(const struct key_members *km, uint64_t node_id)
{
	uint32_t slot = slot_map_first(&km->map, slot_hash(node_id, 0));

	for (; slot != SLOT_NONE; slot = slot_map_next(&km->map, slot)) {
		if (km->left[slot].node_id == node_id)
			return slot;
	}
	return SLOT_NONE;
}

/* Records that an incarnation is leaving, in place of an earlier one of its node. It is not
 * recorded if the list is full. */
static void record_leaving(struct key_members *km, const struct node_incarnation *identity)
{
	uint32_t slot = find_left(km, identity->node_id);

	if (slot == SLOT_NONE)
		slot = slot_map_insert(&km->map, slot_hash(identity->node_id, 0));
	if (slot != SLOT_NONE)
		km->left[slot] = *identity;
}

/* Forgets that a member had given up its keys: it serves again after an evacuation. */
static void record_serving(struct key_members *km, const struct node_incarnation *identity)
{
	uint32_t slot = find_left(km, identity->node_id);

	if (slot != SLOT_NONE && km->left[slot].incarnation == identity->incarnation)
		km->left[slot].incarnation = 0;
}

/* Returns true if a live member has given up its keys because of an evacuation. */
static bool is_evacuated(const struct key_members *km, const struct member *member)
{
	return member->state != MEMBER_DEAD && member->backend == BACKEND_DRAINING &&
	       evacuation_is_ordered(km->evacuations, member->domain);
}

/* Records the members that are leaving, if the member table has changed. */
void key_members_record_leaving(struct key_members *km)
{
	uint64_t revision = member_table_revision(km->table) + km->evacuations->revision;

	if (revision == km->revision)
		return;
	km->revision = revision;
	for (size_t i = 0; i < member_count(km->table); i++) {
		const struct member *member = member_at(km->table, i);

		if (member->state == MEMBER_LEAVING || is_evacuated(km, member))
			record_leaving(km, &member->identity);
		else if (member_is_serving(member))
			record_serving(km, &member->identity);
	}
}

/* Returns a member's state for the choice of key owners. */
static enum key_member_state key_state_of(const struct key_members *km, const struct member *member)
{
	uint32_t slot;

	if (member->state == MEMBER_LEAVING || is_evacuated(km, member))
		return KEY_MEMBER_LEFT;
	if (member->state != MEMBER_DEAD)
		return KEY_MEMBER_ALIVE;
	slot = find_left(km, member->identity.node_id);
	if (slot != SLOT_NONE && km->left[slot].incarnation == member->identity.incarnation)
		return KEY_MEMBER_LEFT;
	return KEY_MEMBER_DEAD;
}

/* Sets the members of a service as the possible owners of its keys. */
void key_members_apply(const struct key_members *km, const char *service, struct key_table *keys,
		       uint64_t now_ms)
{
	size_t room = member_count_service(km->table, service);
	struct key_member *list = calloc(room + 1, sizeof(*list));
	const struct member *member = NULL;
	struct error err = {0};
	uint32_t count = 0;

	if (!list)
		return;
	while (count < room &&
	       (member = member_next_of_service(km->table, service, member)) != NULL) {
		list[count].node_id = member->identity.node_id;
		list[count].state = key_state_of(km, member);
		count++;
	}
	if (key_set_members(keys, list, count, now_ms, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_GATE, "The owners of keys could not be updated.",
			    &err);
	free(list);
}

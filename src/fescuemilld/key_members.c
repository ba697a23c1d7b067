/*
 * Key members: the members of a service as the homes of keyed calls need them. A member that was
 * seen leaving has given its keys up by its own word, also when it is dead later in the same life.
 */
#include "fescuemilld/key_members.h"

#include "fescuemill/base/log.h"
#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>

struct key_members {
	const struct member_table *table;
	uint64_t revision;
	struct slot_map map; /* of lives that were seen leaving */
	struct node_incarnation lives[FLEET_MEMBERS_MAX];
};

/* Opens a list in which nobody has left. Errors: ERROR_MEMORY. */
int key_members_open(struct key_members **out, const struct member_table *table, struct error *err)
{
	struct key_members *km = calloc(1, sizeof(*km));

	if (!km)
		return error_set(err, ERROR_MEMORY, "no memory for the homes of keys");
	km->table = table;
	km->revision = UINT64_MAX;
	if (slot_map_init(&km->map, FLEET_MEMBERS_MAX, err) != 0) {
		free(km);
		return -1;
	}
	*out = km;
	return 0;
}

/* Frees the list. */
void key_members_close(struct key_members *km)
{
	slot_map_release(&km->map);
	free(km);
}

/* Finds the slot of a node that was seen leaving, in whatever life. */
static uint32_t find(const struct key_members *km, uint64_t node_id)
{
	uint32_t slot = slot_map_first(&km->map, slot_hash(node_id, 0));

	for (; slot != SLOT_NONE; slot = slot_map_next(&km->map, slot)) {
		if (km->lives[slot].node_id == node_id)
			return slot;
	}
	return SLOT_NONE;
}

/* Notes that a life is leaving. */
static void note_leaving(struct key_members *km, const struct node_incarnation *identity)
{
	uint32_t slot = find(km, identity->node_id);

	if (slot == SLOT_NONE)
		slot = slot_map_insert(&km->map, slot_hash(identity->node_id, 0));
	if (slot != SLOT_NONE)
		km->lives[slot] = *identity;
}

/* Notes who is leaving. */
void key_members_note(struct key_members *km)
{
	uint64_t revision = member_table_revision(km->table);

	if (revision == km->revision)
		return;
	km->revision = revision;
	for (size_t i = 0; i < member_count(km->table); i++) {
		const struct member *member = member_at(km->table, i);

		if (member->state == MEMBER_LEAVING)
			note_leaving(km, &member->identity);
	}
}

/* Gives a member's state as far as keys are concerned. */
static enum key_member_state state_of(const struct key_members *km, const struct member *member)
{
	uint32_t slot;

	if (member->state == MEMBER_LEAVING)
		return KEY_MEMBER_LEFT;
	if (member->state != MEMBER_DEAD)
		return KEY_MEMBER_ALIVE;
	slot = find(km, member->identity.node_id);
	if (slot != SLOT_NONE && km->lives[slot].incarnation == member->identity.incarnation)
		return KEY_MEMBER_LEFT;
	return KEY_MEMBER_DEAD;
}

/* Sets the members of a service as the homes of its keys. */
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
		list[count].state = state_of(km, member);
		count++;
	}
	if (key_set_members(keys, list, count, now_ms, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_GATE, "Homes of keys could not be set.", &err);
	free(list);
}

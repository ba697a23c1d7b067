/*
 * Suspicions: an unordered array, since few members are suspect or dead at any time.
 */
#include "fescuemill/fleet/suspicion.h"

/* Returns the index of a node's entry, or count if there is none. */
static uint32_t find(const struct suspicion_list *list, uint64_t node_id)
{
	uint32_t i = 0;

	while (i < list->count && list->items[i].node_id != node_id)
		i++;
	return i;
}

/* Removes an entry by moving the last one into its place. */
static void remove_entry(struct suspicion_list *list, uint32_t index)
{
	list->items[index] = list->items[--list->count];
}

/* Records a member's state, and since when it has had it if it is suspect or dead. */
void suspicion_record(struct suspicion_list *list, uint64_t node_id, enum member_state state,
		      uint64_t now_us)
{
	uint32_t i = find(list, node_id);
	bool known = i < list->count;

	if (state != MEMBER_SUSPECT && state != MEMBER_DEAD) {
		if (known)
			remove_entry(list, i);
		return;
	}
	if (known && list->items[i].state == state)
		return;
	if (!known && list->count == FLEET_MEMBERS_MAX)
		return;
	if (!known)
		list->count++;
	list->items[i].node_id = node_id;
	list->items[i].state = state;
	list->items[i].since_us = now_us;
}

/* Returns true if an entry has been in its state for the time limit of that state. */
static bool is_due(const struct suspicion *item, uint64_t now_us)
{
	uint64_t limit_us =
		item->state == MEMBER_DEAD ? GOSSIP_DEAD_RETENTION_US : GOSSIP_SUSPECT_TIMEOUT_US;

	return now_us >= item->since_us + limit_us;
}

/* Removes one entry that is due and copies it to `due`; returns false if there is none. */
bool suspicion_next_due(struct suspicion_list *list, uint64_t now_us, struct suspicion *due)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (!is_due(&list->items[i], now_us))
			continue;
		*due = list->items[i];
		remove_entry(list, i);
		return true;
	}
	return false;
}

/* Moves the start of every entry forward by the length of a pause. */
void suspicion_extend(struct suspicion_list *list, uint64_t pause_us)
{
	for (uint32_t i = 0; i < list->count; i++)
		list->items[i].since_us += pause_us;
}

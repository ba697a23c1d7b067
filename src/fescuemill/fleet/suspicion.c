/*
 * Suspicion: an unordered array, since few members are suspect or dead at any time.
 */
#include "fescuemill/fleet/suspicion.h"

/* Finds an entry; returns count when there is none. */
static uint32_t find(const struct suspicion_list *list, uint64_t node_id)
{
	uint32_t i = 0;

	while (i < list->count && list->items[i].node_id != node_id)
		i++;
	return i;
}

/* Takes an entry off by moving the last into its place. */
static void take_off(struct suspicion_list *list, uint32_t index)
{
	list->items[index] = list->items[--list->count];
}

/* Notes a member's state at a time. */
void suspicion_note(struct suspicion_list *list, uint64_t node_id, enum member_state state,
		    uint64_t now_us)
{
	uint32_t i = find(list, node_id);
	bool known = i < list->count;

	if (state != MEMBER_SUSPECT && state != MEMBER_DEAD) {
		if (known)
			take_off(list, i);
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

/* Tells whether an entry has stood for as long as its state may. */
static bool is_due(const struct suspicion *item, uint64_t now_us)
{
	uint64_t limit_us = item->state == MEMBER_DEAD ? GOSSIP_DEAD_KEEP_US : GOSSIP_SUSPECT_US;

	return now_us >= item->since_us + limit_us;
}

/* Takes off and gives one entry that is due. */
bool suspicion_next_due(struct suspicion_list *list, uint64_t now_us, struct suspicion *due)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (!is_due(&list->items[i], now_us))
			continue;
		*due = list->items[i];
		take_off(list, i);
		return true;
	}
	return false;
}

/* Moves every start by the length of a pause. */
void suspicion_shift(struct suspicion_list *list, uint64_t pause_us)
{
	for (uint32_t i = 0; i < list->count; i++)
		list->items[i].since_us += pause_us;
}

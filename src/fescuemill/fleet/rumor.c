/*
 * Rumors: a small array. The rumors with the most sends left go first, so that new updates overtake
 * old ones.
 */
#include "fescuemill/fleet/rumor.h"

#include "fescuemill/fleet/fingerprint.h"
#include "fescuemill/fleet/gossip_codec.h"

#include <stdlib.h>

#define SENDS_PER_DOUBLING 2

/* Sends of a full record while more than RUMORS_FULL_MAX of them are pending, as when a fleet
 * starts. A few reach nearly all members, and the others find what they lack when they compare
 * tables, which new nodes do often. */
#define FULL_BACKLOG_SENDS 3

/* Returns how often a node sends one update: a multiple of the number of doublings that reach all
 * members. */
uint16_t rumor_send_count(size_t members)
{
	uint16_t doublings = 1;

	while (members >> doublings)
		doublings++;
	return doublings * SENDS_PER_DOUBLING;
}

/* Returns the slot for a rumor: the one that the node already has, a new one, or, if the list is
 * full, that of the rumor with the fewest sends left. */
static struct rumor *claim_slot(struct rumor_list *list, uint64_t node_id)
{
	struct rumor *most_sent = &list->items[0];

	for (uint32_t i = 0; i < list->count; i++) {
		if (list->items[i].node_id == node_id)
			return &list->items[i];
		if (list->items[i].sends_left < most_sent->sends_left)
			most_sent = &list->items[i];
	}
	if (list->count == RUMORS_MAX)
		return most_sent;
	most_sent = &list->items[list->count++];
	most_sent->sends_left = 0; /* The slot may hold a rumor that was removed. */
	return most_sent;
}

/* Spreads the latest update about a member, starting with the full number of sends. The form never
 * drops below the one that a pending earlier change needs. */
void rumor_add(struct rumor_list *list, uint64_t node_id, enum rumor_form form, uint16_t sends)
{
	struct rumor *rumor = claim_slot(list, node_id);
	bool is_pending = rumor->node_id == node_id && rumor->sends_left > 0;

	if (!is_pending || rumor->form < form)
		rumor->form = form;
	rumor->node_id = node_id;
	rumor->sends_left = sends;
	rumor->in_packet = false;
}

/* Sorts rumors by the sends left, most first. */
static int compare_sends(const void *a, const void *b)
{
	const struct rumor *one = a;
	const struct rumor *two = b;

	return (int)two->sends_left - (int)one->sends_left;
}

/* Adds an update about a member to a packet; returns false if there is no room. */
static bool put(struct gossip_packet *packet, const struct member *member, enum rumor_form form,
		size_t *room)
{
	struct gossip_update *update = &packet->updates[packet->update_count];
	size_t bytes;

	if (packet->update_count == GOSSIP_UPDATES_MAX)
		return false;
	update->is_full_record = form == RUMOR_FULL;
	update->member = *member;
	bytes = gossip_update_bytes(update);
	if (bytes > *room)
		return false;
	*room -= bytes;
	packet->update_count++;
	return true;
}

/* Adds the fingerprint of a member's state to a packet; returns false if there is no room. */
static bool put_fingerprint(struct gossip_packet *packet, const struct member *member, size_t *room)
{
	uint32_t *count = &packet->fingerprint_count;

	if (*count == GOSSIP_FINGERPRINTS_MAX || *room < sizeof(packet->fingerprints[0]))
		return false;
	packet->fingerprints[(*count)++] = fingerprint_of(member);
	*room -= sizeof(packet->fingerprints[0]);
	return true;
}

/* Lowers the sends left of full records while many of them are pending. */
static void limit_full_backlog(struct rumor_list *list)
{
	uint32_t full = 0;

	for (uint32_t i = 0; i < list->count; i++)
		full += list->items[i].form == RUMOR_FULL;
	for (uint32_t i = 0; full > RUMORS_FULL_MAX && i < list->count; i++) {
		struct rumor *rumor = &list->items[i];

		if (rumor->form == RUMOR_FULL && rumor->sends_left > FULL_BACKLOG_SENDS)
			rumor->sends_left = FULL_BACKLOG_SENDS;
	}
}

/* Fills a packet with the rumors that fit. Members that are no longer in the table are skipped. */
void rumor_fill(struct rumor_list *list, const struct member_table *members,
		struct gossip_packet *packet)
{
	bool has_backlog = rumor_has_backlog(list);
	size_t room = gossip_update_room(packet);
	bool fits = true;

	limit_full_backlog(list);
	qsort(list->items, list->count, sizeof(list->items[0]), compare_sends);
	for (uint32_t i = 0; i < list->count; i++) {
		struct rumor *rumor = &list->items[i];
		const struct member *member = member_find(members, rumor->node_id);

		if (member && fits && has_backlog && rumor->form == RUMOR_STATE)
			fits = put_fingerprint(packet, member, &room);
		else if (member && fits)
			fits = put(packet, member, rumor->form, &room);
		rumor->in_packet = member && fits;
	}
}

/* Counts one send for each rumor in the last packet, and removes those with no sends left. */
void rumor_record_sent(struct rumor_list *list)
{
	for (uint32_t i = list->count; i-- > 0;) {
		struct rumor *rumor = &list->items[i];

		if (!rumor->in_packet)
			continue;
		rumor->in_packet = false;
		if (--rumor->sends_left == 0)
			*rumor = list->items[--list->count];
	}
}

/* Returns true if many changes of state are pending, as after the loss of a failure domain. */
bool rumor_has_backlog(const struct rumor_list *list)
{
	uint32_t changes = 0;

	for (uint32_t i = 0; i < list->count; i++)
		changes += list->items[i].form == RUMOR_STATE;
	return changes > RUMORS_COMPACT_MAX;
}

/* Returns true if no update is left to send. */
bool rumor_is_empty(const struct rumor_list *list)
{
	return list->count == 0;
}

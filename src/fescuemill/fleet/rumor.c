/*
 * Rumors: a small array. The least sent go first, so that fresh news overtakes old.
 */
#include "fescuemill/fleet/rumor.h"

#include "fescuemill/fleet/fingerprint.h"
#include "fescuemill/fleet/gossip_codec.h"

#include <stdlib.h>

#define SENDS_PER_DOUBLING 2

/* Gives the sends of one piece of news: a multiple of the rounds that doubling needs. */
uint16_t rumor_sends(size_t members)
{
	uint16_t doublings = 1;

	while (members >> doublings)
		doublings++;
	return doublings * SENDS_PER_DOUBLING;
}

/* Finds the place for a rumor: its own, a free one, or that of the most sent. */
static struct rumor *find_place(struct rumor_list *list, uint64_t node_id)
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
	most_sent->sends_left = 0; /* What stood there before is gone. */
	return most_sent;
}

/* Passes on the news of a member from the start; what an earlier change needs is still sent. */
void rumor_add(struct rumor_list *list, uint64_t node_id, enum rumor_form form, uint16_t sends)
{
	struct rumor *rumor = find_place(list, node_id);
	bool is_waiting = rumor->node_id == node_id && rumor->sends_left > 0;

	if (!is_waiting || rumor->form < form)
		rumor->form = form;
	rumor->node_id = node_id;
	rumor->sends_left = sends;
	rumor->in_packet = false;
}

/* Orders rumors by sends left, most first. */
static int compare_sends(const void *a, const void *b)
{
	const struct rumor *one = a;
	const struct rumor *two = b;

	return (int)two->sends_left - (int)one->sends_left;
}

/* Puts one member's news into a packet if there is room; returns whether it did. */
static bool put(struct gossip_packet *packet, const struct member *member, enum rumor_form form,
		size_t *room)
{
	struct gossip_news *news = &packet->news[packet->news_count];
	size_t bytes;

	if (packet->news_count == GOSSIP_NEWS_MAX)
		return false;
	news->whole = form == RUMOR_WHOLE;
	news->member = *member;
	bytes = gossip_news_bytes(news);
	if (bytes > *room)
		return false;
	*room -= bytes;
	packet->news_count++;
	return true;
}

/* Puts a fingerprint of a member's state into a packet if there is room. */
static bool put_fingerprint(struct gossip_packet *packet, const struct member *member, size_t *room)
{
	uint32_t *count = &packet->fingerprint_count;

	if (*count == GOSSIP_FINGERPRINTS_MAX || *room < sizeof(packet->fingerprints[0]))
		return false;
	packet->fingerprints[(*count)++] = fingerprint_of(member);
	*room -= sizeof(packet->fingerprints[0]);
	return true;
}

/* Fills a packet with the rumors that fit. Members that are gone are skipped. */
void rumor_fill(struct rumor_list *list, const struct member_table *members,
		struct gossip_packet *packet)
{
	bool is_crowded = rumor_is_crowded(list);
	size_t room = gossip_news_room();
	bool fits = true;

	qsort(list->items, list->count, sizeof(list->items[0]), compare_sends);
	for (uint32_t i = 0; i < list->count; i++) {
		struct rumor *rumor = &list->items[i];
		const struct member *member = member_find(members, rumor->node_id);

		if (member && fits && is_crowded && rumor->form == RUMOR_STATE)
			fits = put_fingerprint(packet, member, &room);
		else if (member && fits)
			fits = put(packet, member, rumor->form, &room);
		rumor->in_packet = member && fits;
	}
}

/* Takes one send off each rumor of the packet; one that has none left is forgotten. */
void rumor_count_sent(struct rumor_list *list)
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

/* Tells whether many changes of state wait, as after the loss of a failure domain. */
bool rumor_is_crowded(const struct rumor_list *list)
{
	uint32_t changes = 0;

	for (uint32_t i = 0; i < list->count; i++)
		changes += list->items[i].form == RUMOR_STATE;
	return changes > RUMORS_BRIEF_MAX;
}

/* Tells whether nothing is left to pass on. */
bool rumor_is_empty(const struct rumor_list *list)
{
	return list->count == 0;
}

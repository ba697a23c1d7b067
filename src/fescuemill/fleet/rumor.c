/*
 * Rumors: a small array. The least sent go first, so that fresh news overtakes old.
 */
#include "fescuemill/fleet/rumor.h"

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
	if (list->count < RUMORS_MAX)
		return &list->items[list->count++];
	return most_sent;
}

/* Passes on the news of a member from the start; news that stays whole stays so. */
void rumor_add(struct rumor_list *list, uint64_t node_id, bool whole, uint16_t sends)
{
	struct rumor *rumor = find_place(list, node_id);
	bool was_whole = rumor->node_id == node_id && rumor->sends_left > 0 && rumor->whole;

	rumor->node_id = node_id;
	rumor->sends_left = sends;
	rumor->whole = whole || was_whole;
}

/* Orders rumors by sends left, most first. */
static int compare_sends(const void *a, const void *b)
{
	const struct rumor *one = a;
	const struct rumor *two = b;

	return (int)two->sends_left - (int)one->sends_left;
}

/* Fills a packet with the rumors that fit. Members that are gone are skipped. */
void rumor_fill(struct rumor_list *list, const struct member_table *members,
		struct gossip_packet *packet)
{
	size_t room = gossip_news_room();

	qsort(list->items, list->count, sizeof(list->items[0]), compare_sends);
	for (uint32_t i = 0; i < list->count && packet->news_count < GOSSIP_NEWS_MAX; i++) {
		const struct member *member = member_find(members, list->items[i].node_id);
		struct gossip_news *news = &packet->news[packet->news_count];

		if (!member)
			continue;
		news->whole = list->items[i].whole;
		news->member = *member;
		if (gossip_news_bytes(news) > room)
			break;
		room -= gossip_news_bytes(news);
		packet->news_count++;
	}
}

/* Takes one send off a rumor; one that has none left is forgotten. */
static void count_one(struct rumor_list *list, uint64_t node_id)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (list->items[i].node_id != node_id)
			continue;
		if (--list->items[i].sends_left == 0)
			list->items[i] = list->items[--list->count];
		return;
	}
}

/* Counts the news of a packet as sent once. */
void rumor_count_sent(struct rumor_list *list, const struct gossip_packet *packet)
{
	for (uint32_t i = 0; i < packet->news_count; i++)
		count_one(list, packet->news[i].member.life.node_id);
}

/* Tells whether nothing is left to pass on. */
bool rumor_is_empty(const struct rumor_list *list)
{
	return list->count == 0;
}

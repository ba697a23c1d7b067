/*
 * Heard: a hash table with open addressing, by node, at most half full.
 */
#include "fescuemill/fleet/heard.h"

#include <stdlib.h>
#include <string.h>

/* Gives the place of a node, or the empty place where it would stand. */
static struct heard *place_of(const struct heard_table *table, uint64_t node_id)
{
	uint32_t mask = table->place_count - 1;
	uint32_t i = (uint32_t)node_id & mask;

	while (table->places[i].identity.node_id && table->places[i].identity.node_id != node_id)
		i = (i + 1) & mask;
	return &table->places[i];
}

/* Makes room for twice as many nodes. Returns false when the table is as large as it may be, or
 * without memory. */
static bool grow(struct heard_table *table)
{
	struct heard_table larger = {
		.count = table->count,
		.place_count = table->place_count ? 2 * table->place_count : HEARD_PLACES_MIN,
	};

	if (larger.place_count > HEARD_PLACES_MAX)
		return false;
	larger.places = calloc(larger.place_count, sizeof(*larger.places));
	if (!larger.places)
		return false;
	for (uint32_t i = 0; i < table->place_count; i++) {
		const struct heard *old = &table->places[i];

		if (old->identity.node_id)
			*place_of(&larger, old->identity.node_id) = *old;
	}
	free(table->places);
	*table = larger;
	return true;
}

/* Gives the place of a node, taken if need be; NULL without memory. */
static struct heard *take_place(struct heard_table *table, uint64_t node_id)
{
	if (table->place_count && place_of(table, node_id)->identity.node_id)
		return place_of(table, node_id);
	if (2 * table->count >= table->place_count && !grow(table)) {
		if (!table->place_count)
			return NULL;
		memset(table->places, 0, table->place_count * sizeof(*table->places));
		table->count = 0;
	}
	table->count++;
	return place_of(table, node_id);
}

/* Notes what a member said; an older incarnation is not heard any more, and within one incarnation
 * versions only grow, though packets overtake each other. */
void heard_note(struct heard_table *table, const struct node_incarnation *identity,
		uint64_t config_version, uint64_t now_us)
{
	struct heard *heard = take_place(table, identity->node_id);

	if (!heard || identity->incarnation < heard->identity.incarnation)
		return;
	if (identity->incarnation > heard->identity.incarnation)
		heard->config_version = 0;
	heard->identity = *identity;
	heard->heard_us = now_us;
	if (config_version > heard->config_version)
		heard->config_version = config_version;
}

/* Gives the last word of this incarnation of a member, or NULL. */
const struct heard *heard_find(const struct heard_table *table,
			       const struct node_incarnation *identity)
{
	const struct heard *heard = table->place_count ? place_of(table, identity->node_id) : NULL;

	if (!heard || heard->identity.node_id != identity->node_id ||
	    heard->identity.incarnation != identity->incarnation)
		return NULL;
	return heard;
}

/* Frees the table. */
void heard_close(struct heard_table *table)
{
	free(table->places);
}

/*
 * Version reports: a hash table with open addressing, indexed by node id, at most half full.
 */
#include "fescuemill/fleet/version_report.h"

#include <stdlib.h>
#include <string.h>

/* Returns the slot of a node, or the empty slot where it would be inserted. */
static struct version_report *slot_of(const struct version_report_table *table, uint64_t node_id)
{
	uint32_t mask = table->slot_count - 1;
	uint32_t i = (uint32_t)node_id & mask;

	while (table->slots[i].identity.node_id && table->slots[i].identity.node_id != node_id)
		i = (i + 1) & mask;
	return &table->slots[i];
}

/* Doubles the number of slots. Returns false at the largest size, or if memory is short. */
static bool grow(struct version_report_table *table)
{
	struct version_report_table larger = {
		.count = table->count,
		.slot_count = table->slot_count ? 2 * table->slot_count : VERSION_REPORT_SLOTS_MIN,
	};

	if (larger.slot_count > VERSION_REPORT_SLOTS_MAX)
		return false;
	larger.slots = calloc(larger.slot_count, sizeof(*larger.slots));
	if (!larger.slots)
		return false;
	for (uint32_t i = 0; i < table->slot_count; i++) {
		const struct version_report *old = &table->slots[i];

		if (old->identity.node_id)
			*slot_of(&larger, old->identity.node_id) = *old;
	}
	free(table->slots);
	*table = larger;
	return true;
}

/* Returns the slot of a node, counting a new node. Clears the table if it is full and cannot grow;
 * returns NULL if it has no slots at all. */
static struct version_report *claim_slot(struct version_report_table *table, uint64_t node_id)
{
	if (table->slot_count && slot_of(table, node_id)->identity.node_id)
		return slot_of(table, node_id);
	if (2 * table->count >= table->slot_count && !grow(table)) {
		if (!table->slot_count)
			return NULL;
		memset(table->slots, 0, table->slot_count * sizeof(*table->slots));
		table->count = 0;
	}
	table->count++;
	return slot_of(table, node_id);
}

/* Records the version that a member reported. Reports of an older incarnation are ignored. Within
 * one incarnation a member's version only grows, but its packets can be reordered, so a lower
 * version is outdated and does not replace a higher one. */
void version_report_record(struct version_report_table *table,
			   const struct node_incarnation *identity, uint64_t config_version,
			   uint64_t now_us)
{
	struct version_report *report = claim_slot(table, identity->node_id);

	if (!report || identity->incarnation < report->identity.incarnation)
		return;
	if (identity->incarnation > report->identity.incarnation)
		report->config_version = 0;
	report->identity = *identity;
	report->reported_us = now_us;
	if (config_version > report->config_version)
		report->config_version = config_version;
}

/* Returns the last report of this incarnation of a member, or NULL. */
const struct version_report *version_report_find(const struct version_report_table *table,
						 const struct node_incarnation *identity)
{
	const struct version_report *report =
		table->slot_count ? slot_of(table, identity->node_id) : NULL;

	if (!report || report->identity.node_id != identity->node_id ||
	    report->identity.incarnation != identity->incarnation)
		return NULL;
	return report;
}

/* Frees the slots of the table. */
void version_report_table_close(struct version_report_table *table)
{
	free(table->slots);
}

/*
 * Notice table: the latest words of backend servers, by the id of their gate's node.
 */
#include "fescuemill/decide/notice_table.h"

#include <stdlib.h>
#include <string.h>

/* Allocates an empty table. Errors: ERROR_MEMORY. */
int notice_table_init(struct notice_table *table, uint32_t capacity, struct error *err)
{
	table->entries = calloc(capacity, sizeof(*table->entries));
	if (!table->entries)
		return error_set(err, ERROR_MEMORY, "cannot allocate %u notices", capacity);
	return slot_map_init(&table->map, capacity, err);
}

/* Frees the memory of a table. */
void notice_table_release(struct notice_table *table)
{
	slot_map_release(&table->map);
	free(table->entries);
	table->entries = NULL;
}

static uint32_t find_slot(const struct notice_table *table, uint64_t node_id)
{
	uint32_t slot = slot_map_first(&table->map, slot_hash(node_id, 0));

	while (slot != SLOT_NONE && table->entries[slot].node_id != node_id)
		slot = slot_map_next(&table->map, slot);
	return slot;
}

static void remove_entry(struct notice_table *table, uint32_t slot)
{
	slot_map_remove(&table->map, slot_hash(table->entries[slot].node_id, 0), slot);
	memset(&table->entries[slot], 0, sizeof(table->entries[slot]));
}

/* Stores the latest word heard through a gate. */
void notice_table_record(struct notice_table *table, uint64_t node_id,
			 const struct server_notice *notice)
{
	uint32_t slot = find_slot(table, node_id);

	if (!notice->has_rate_limit && !notice->is_leaving) {
		if (slot != SLOT_NONE)
			remove_entry(table, slot);
		return;
	}
	if (slot == SLOT_NONE)
		slot = slot_map_insert(&table->map, slot_hash(node_id, 0));
	if (slot == SLOT_NONE)
		return;
	table->entries[slot].node_id = node_id;
	table->entries[slot].notice = *notice;
}

/* Returns the latest word heard through a gate, or NULL. */
const struct server_notice *notice_table_find(const struct notice_table *table, uint64_t node_id)
{
	uint32_t slot = find_slot(table, node_id);

	return slot == SLOT_NONE ? NULL : &table->entries[slot].notice;
}

/* Removes the entries of gates that are not known any more. */
void notice_table_sweep(struct notice_table *table, bool (*is_known)(void *user, uint64_t node_id),
			void *user)
{
	for (uint32_t slot = 0; table->map.count > 0 && slot < table->map.capacity; slot++) {
		uint64_t node_id = table->entries[slot].node_id;

		if (node_id && !is_known(user, node_id))
			remove_entry(table, slot);
	}
}

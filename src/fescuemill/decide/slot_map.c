/*
 * Slot map: hash buckets that are linked lists of slot numbers, and a free list.
 */
#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>

#define HASH_FACTOR 0x9E3779B97F4A7C15ULL

/* Hashes two numbers. The low bits of the result are well distributed. */
uint64_t slot_hash(uint64_t a, uint64_t b)
{
	uint64_t hash = (a ^ (b * HASH_FACTOR)) * HASH_FACTOR;

	hash ^= hash >> 32;
	hash *= HASH_FACTOR;
	return hash ^ (hash >> 29);
}

/* Initialises an empty map with the given number of slots. Errors: ERROR_MEMORY. */
int slot_map_init(struct slot_map *map, uint32_t capacity, struct error *err)
{
	uint32_t bucket_count = 16;

	while (bucket_count < capacity)
		bucket_count *= 2;
	map->capacity = capacity;
	map->count = 0;
	map->mask = bucket_count - 1;
	map->free_head = capacity ? 0 : SLOT_NONE;
	map->heads = malloc(bucket_count * sizeof(*map->heads));
	map->next = malloc((capacity + 1) * sizeof(*map->next));
	if (!map->heads || !map->next) {
		slot_map_release(map);
		return error_set(err, ERROR_MEMORY, "cannot allocate a slot map of %u slots",
				 capacity);
	}
	for (uint32_t i = 0; i < bucket_count; i++)
		map->heads[i] = SLOT_NONE;
	for (uint32_t i = 0; i < capacity; i++)
		map->next[i] = i + 1 < capacity ? i + 1 : SLOT_NONE;
	return 0;
}

/* Frees the map's memory. */
void slot_map_release(struct slot_map *map)
{
	free(map->heads);
	free(map->next);
	map->heads = NULL;
	map->next = NULL;
}

/* Moves a free slot into the bucket of a hash and returns it; SLOT_NONE when the map is full. */
uint32_t slot_map_insert(struct slot_map *map, uint64_t hash)
{
	uint32_t slot = map->free_head;
	uint32_t *head = &map->heads[hash & map->mask];

	if (slot == SLOT_NONE)
		return SLOT_NONE;
	map->free_head = map->next[slot];
	map->next[slot] = *head;
	*head = slot;
	map->count++;
	return slot;
}

/* Frees a slot, which must be in the bucket of the given hash. */
void slot_map_remove(struct slot_map *map, uint64_t hash, uint32_t slot)
{
	uint32_t *link = &map->heads[hash & map->mask];

	while (*link != slot)
		link = &map->next[*link];
	*link = map->next[slot];
	map->next[slot] = map->free_head;
	map->free_head = slot;
	map->count--;
}

/* Returns the first slot in the bucket of a hash, or SLOT_NONE. */
uint32_t slot_map_first(const struct slot_map *map, uint64_t hash)
{
	return map->heads[hash & map->mask];
}

/* Returns the slot that follows in the same bucket, or SLOT_NONE. */
uint32_t slot_map_next(const struct slot_map *map, uint32_t slot)
{
	return map->next[slot];
}

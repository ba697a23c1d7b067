/*
 * Slot map: chained buckets of slot numbers and a free list.
 */
#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>

#define HASH_FACTOR 0x9E3779B97F4A7C15ULL

/* Mixes two numbers into a hash whose low bits are spread. */
uint64_t slot_hash(uint64_t a, uint64_t b)
{
	uint64_t hash = (a ^ (b * HASH_FACTOR)) * HASH_FACTOR;

	hash ^= hash >> 32;
	hash *= HASH_FACTOR;
	return hash ^ (hash >> 29);
}

/* Makes a map of a capacity, all slots free. Errors: ERROR_MEMORY. */
int slot_map_init(struct slot_map *map, uint32_t capacity, struct error *err)
{
	uint32_t chains = 16;

	while (chains < capacity)
		chains *= 2;
	map->capacity = capacity;
	map->count = 0;
	map->mask = chains - 1;
	map->free_head = capacity ? 0 : SLOT_NONE;
	map->heads = malloc(chains * sizeof(*map->heads));
	map->next = malloc((capacity + 1) * sizeof(*map->next));
	if (!map->heads || !map->next) {
		slot_map_release(map);
		return error_set(err, ERROR_MEMORY, "slot map of %u", capacity);
	}
	for (uint32_t i = 0; i < chains; i++)
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

/* Takes a free slot into the chain of a hash; SLOT_NONE when the map is full. */
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

/* Frees a slot that is in the chain of a hash. */
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

/* Gives the first slot in the chain of a hash, or SLOT_NONE. */
uint32_t slot_map_first(const struct slot_map *map, uint64_t hash)
{
	return map->heads[hash & map->mask];
}

/* Gives the slot after one in its chain, or SLOT_NONE. */
uint32_t slot_map_next(const struct slot_map *map, uint32_t slot)
{
	return map->next[slot];
}

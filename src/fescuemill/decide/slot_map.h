/*
 * Slot map: a hash index over a fixed-size array that the caller owns. The map returns array
 * indices (slots); the caller compares keys. Memory is allocated in slot_map_init() only.
 */
#ifndef FESCUEMILL_DECIDE_SLOT_MAP_H
#define FESCUEMILL_DECIDE_SLOT_MAP_H

#include "fescuemill/base/error.h"

#include <stdint.h>

#define SLOT_NONE UINT32_MAX

struct slot_map {
	uint32_t capacity;
	uint32_t count;
	uint32_t mask;
	uint32_t free_head;
	uint32_t *heads; /* first slot of each bucket; mask + 1 buckets */
	uint32_t *next;	 /* slot that follows each slot in its bucket or in the free list */
};

int slot_map_init(struct slot_map *map, uint32_t capacity, struct error *err);
void slot_map_release(struct slot_map *map);
uint32_t slot_map_insert(struct slot_map *map, uint64_t hash);
void slot_map_remove(struct slot_map *map, uint64_t hash, uint32_t slot);
uint32_t slot_map_first(const struct slot_map *map, uint64_t hash);
uint32_t slot_map_next(const struct slot_map *map, uint32_t slot);
uint64_t slot_hash(uint64_t a, uint64_t b);

#endif

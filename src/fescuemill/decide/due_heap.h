/*
 * Due heap: a priority queue of slots (array indices that the caller owns), ordered by the time at
 * which each is due.
 */
#ifndef FESCUEMILL_DECIDE_DUE_HEAP_H
#define FESCUEMILL_DECIDE_DUE_HEAP_H

#include "fescuemill/base/error.h"

#include <stdint.h>

struct due_heap {
	uint32_t count;
	uint32_t *slots;     /* slots in heap order */
	uint32_t *positions; /* index of each slot in slots[]; UINT32_MAX: not in the heap */
	uint64_t *due_us;    /* time at which each slot is due */
};

int due_heap_init(struct due_heap *heap, uint32_t capacity, struct error *err);
void due_heap_release(struct due_heap *heap);
void due_heap_set(struct due_heap *heap, uint32_t slot, uint64_t due_us);
void due_heap_remove(struct due_heap *heap, uint32_t slot);
uint64_t due_heap_first_us(const struct due_heap *heap);
uint32_t due_heap_first(const struct due_heap *heap);

#endif

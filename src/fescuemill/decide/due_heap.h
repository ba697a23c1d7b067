/*
 * Due heap: slots ordered by the time at which each is due.
 */
#ifndef FESCUEMILL_DECIDE_DUE_HEAP_H
#define FESCUEMILL_DECIDE_DUE_HEAP_H

#include "fescuemill/base/error.h"

#include <stdint.h>

struct due_heap {
	uint32_t count;
	uint32_t *slots;  /* heap order */
	uint32_t *places; /* of each slot in the heap; count or above: not in it */
	uint64_t *due_us; /* of each slot */
};

int due_heap_init(struct due_heap *heap, uint32_t capacity, struct error *err);
void due_heap_release(struct due_heap *heap);
void due_heap_set(struct due_heap *heap, uint32_t slot, uint64_t due_us);
void due_heap_remove(struct due_heap *heap, uint32_t slot);
uint64_t due_heap_first_us(const struct due_heap *heap);
uint32_t due_heap_first(const struct due_heap *heap);

#endif

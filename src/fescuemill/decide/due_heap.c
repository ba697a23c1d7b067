/*
 * Due heap: a binary heap that stores the position of each slot, so that any slot can be moved or
 * removed without a search.
 */
#include "fescuemill/decide/due_heap.h"

#include <stdbool.h>
#include <stdlib.h>

/* Initialises an empty heap for slots 0 to capacity - 1. Errors: ERROR_MEMORY. */
int due_heap_init(struct due_heap *heap, uint32_t capacity, struct error *err)
{
	heap->count = 0;
	heap->slots = calloc(capacity + 1, sizeof(*heap->slots));
	heap->positions = malloc((capacity + 1) * sizeof(*heap->positions));
	heap->due_us = calloc(capacity + 1, sizeof(*heap->due_us));
	if (!heap->slots || !heap->positions || !heap->due_us) {
		due_heap_release(heap);
		return error_set(err, ERROR_MEMORY, "cannot allocate a due heap of %u slots",
				 capacity);
	}
	for (uint32_t i = 0; i <= capacity; i++)
		heap->positions[i] = UINT32_MAX;
	return 0;
}

/* Frees the heap's memory. */
void due_heap_release(struct due_heap *heap)
{
	free(heap->slots);
	free(heap->positions);
	free(heap->due_us);
	heap->slots = NULL;
	heap->positions = NULL;
	heap->due_us = NULL;
}

static uint64_t due_us_at(const struct due_heap *heap, uint32_t position)
{
	return heap->due_us[heap->slots[position]];
}

static void put(struct due_heap *heap, uint32_t position, uint32_t slot)
{
	heap->slots[position] = slot;
	heap->positions[slot] = position;
}

static void swap(struct due_heap *heap, uint32_t a, uint32_t b)
{
	uint32_t slot = heap->slots[a];

	put(heap, a, heap->slots[b]);
	put(heap, b, slot);
}

/* Moves the slot at a position up or down until the heap is ordered again. */
static void restore_order(struct due_heap *heap, uint32_t position)
{
	while (position > 0 && due_us_at(heap, position) < due_us_at(heap, (position - 1) / 2)) {
		swap(heap, position, (position - 1) / 2);
		position = (position - 1) / 2;
	}
	while (true) {
		uint32_t least = position;

		for (uint32_t child = 2 * position + 1; child <= 2 * position + 2; child++) {
			if (child < heap->count && due_us_at(heap, child) < due_us_at(heap, least))
				least = child;
		}
		if (least == position)
			return;
		swap(heap, position, least);
		position = least;
	}
}

/* Sets the time at which a slot is due; adds the slot if it is not in the heap. */
void due_heap_set(struct due_heap *heap, uint32_t slot, uint64_t due_us)
{
	heap->due_us[slot] = due_us;
	if (heap->positions[slot] == UINT32_MAX)
		put(heap, heap->count++, slot);
	restore_order(heap, heap->positions[slot]);
}

/* Removes a slot. Does nothing if it is not in the heap. */
void due_heap_remove(struct due_heap *heap, uint32_t slot)
{
	uint32_t position = heap->positions[slot];

	if (position == UINT32_MAX)
		return;
	heap->positions[slot] = UINT32_MAX;
	heap->count--;
	if (position == heap->count)
		return;
	put(heap, position, heap->slots[heap->count]);
	restore_order(heap, position);
}

/* Returns the earliest time at which a slot is due, or UINT64_MAX when the heap is empty. */
uint64_t due_heap_first_us(const struct due_heap *heap)
{
	return heap->count ? due_us_at(heap, 0) : UINT64_MAX;
}

/* Returns the slot that is due first. The heap must not be empty. */
uint32_t due_heap_first(const struct due_heap *heap)
{
	return heap->slots[0];
}

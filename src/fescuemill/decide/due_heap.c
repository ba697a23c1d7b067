/*
 * Due heap: a binary heap that knows each slot's place, so that one slot can be moved or removed.
 */
#include "fescuemill/decide/due_heap.h"

#include <stdbool.h>
#include <stdlib.h>

/* Makes an empty heap for slots 0 to capacity - 1. Errors: ERROR_MEMORY. */
int due_heap_init(struct due_heap *heap, uint32_t capacity, struct error *err)
{
	heap->count = 0;
	heap->slots = calloc(capacity + 1, sizeof(*heap->slots));
	heap->places = malloc((capacity + 1) * sizeof(*heap->places));
	heap->due_us = calloc(capacity + 1, sizeof(*heap->due_us));
	if (!heap->slots || !heap->places || !heap->due_us) {
		due_heap_release(heap);
		return error_set(err, ERROR_MEMORY, "due heap of %u", capacity);
	}
	for (uint32_t i = 0; i <= capacity; i++)
		heap->places[i] = UINT32_MAX;
	return 0;
}

/* Frees the heap's memory. */
void due_heap_release(struct due_heap *heap)
{
	free(heap->slots);
	free(heap->places);
	free(heap->due_us);
	heap->slots = NULL;
	heap->places = NULL;
	heap->due_us = NULL;
}

/* Gives the time of the slot at a place. */
static uint64_t at_us(const struct due_heap *heap, uint32_t place)
{
	return heap->due_us[heap->slots[place]];
}

/* Puts a slot at a place. */
static void put(struct due_heap *heap, uint32_t place, uint32_t slot)
{
	heap->slots[place] = slot;
	heap->places[slot] = place;
}

/* Swaps two places. */
static void swap(struct due_heap *heap, uint32_t a, uint32_t b)
{
	uint32_t slot = heap->slots[a];

	put(heap, a, heap->slots[b]);
	put(heap, b, slot);
}

/* Moves the slot at a place to where it belongs. */
static void settle(struct due_heap *heap, uint32_t place)
{
	while (place > 0 && at_us(heap, place) < at_us(heap, (place - 1) / 2)) {
		swap(heap, place, (place - 1) / 2);
		place = (place - 1) / 2;
	}
	while (true) {
		uint32_t least = place;

		for (uint32_t child = 2 * place + 1; child <= 2 * place + 2; child++) {
			if (child < heap->count && at_us(heap, child) < at_us(heap, least))
				least = child;
		}
		if (least == place)
			return;
		swap(heap, place, least);
		place = least;
	}
}

/* Sets when a slot is due, adding it if it is not in the heap. */
void due_heap_set(struct due_heap *heap, uint32_t slot, uint64_t due_us)
{
	heap->due_us[slot] = due_us;
	if (heap->places[slot] == UINT32_MAX)
		put(heap, heap->count++, slot);
	settle(heap, heap->places[slot]);
}

/* Takes a slot out; does nothing if it is not in the heap. */
void due_heap_remove(struct due_heap *heap, uint32_t slot)
{
	uint32_t place = heap->places[slot];

	if (place == UINT32_MAX)
		return;
	heap->places[slot] = UINT32_MAX;
	heap->count--;
	if (place == heap->count)
		return;
	put(heap, place, heap->slots[heap->count]);
	settle(heap, place);
}

/* Gives the earliest time, or UINT64_MAX when the heap is empty. */
uint64_t due_heap_first_us(const struct due_heap *heap)
{
	return heap->count ? at_us(heap, 0) : UINT64_MAX;
}

/* Gives the slot that is due first; the heap must not be empty. */
uint32_t due_heap_first(const struct due_heap *heap)
{
	return heap->slots[0];
}

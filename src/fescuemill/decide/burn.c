/*
 * Burn table: a ring of time slots for each class. A slot is reset to zero when it is first used
 * for a new time.
 */
#include "fescuemill/decide/burn.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define INDEX_SLOTS (2U * BURN_CLASSES_MAX) /* a power of two; the index is at most half full */

struct burn {
	uint64_t started_us;
	uint32_t count;
	struct burn_class *classes[BURN_CLASSES_MAX];
	uint16_t index[INDEX_SLOTS]; /* hash table of indexes into classes plus one; 0: empty */
};

/* Allocates an empty table. Errors: ERROR_MEMORY. */
int burn_open(struct burn **out, uint64_t now_us, struct error *err)
{
	struct burn *burn = calloc(1, sizeof(*burn));

	if (!burn)
		return error_set(err, ERROR_MEMORY, "cannot allocate the burn table");
	burn->started_us = now_us;
	*out = burn;
	return 0;
}

void burn_close(struct burn *burn)
{
	if (!burn)
		return;
	for (uint32_t i = 0; i < burn->count; i++)
		free(burn->classes[i]);
	free(burn);
}

/* Returns the position of a class in the index, or the empty position at which to add it. */
static uint32_t index_position(const struct burn *burn, const char *service, const char *class_name)
{
	uint64_t hash = XXH3_64bits(service, strlen(service)) * 31 +
			XXH3_64bits(class_name, strlen(class_name));
	uint32_t position = (uint32_t)hash & (INDEX_SLOTS - 1);

	while (burn->index[position]) {
		const struct burn_class *cls = burn->classes[burn->index[position] - 1];

		if (strcmp(cls->service, service) == 0 && strcmp(cls->class_name, class_name) == 0)
			break;
		position = (position + 1) & (INDEX_SLOTS - 1);
	}
	return position;
}

/* Adds a class at an empty position of the index. Returns NULL if the table is full or there is no
 * memory. */
static struct burn_class *add_class(struct burn *burn, uint32_t position,
				    const struct burn_call *call)
{
	struct burn_class *cls;

	if (burn->count == BURN_CLASSES_MAX)
		return NULL;
	cls = calloc(1, sizeof(*cls));
	if (!cls)
		return NULL;
	memcpy(cls->service, call->service, strnlen(call->service, sizeof(cls->service) - 1));
	memcpy(cls->class_name, call->class_name,
	       strnlen(call->class_name, sizeof(cls->class_name) - 1));
	burn->classes[burn->count++] = cls;
	burn->index[position] = (uint16_t)burn->count;
	return cls;
}

/* Returns the counts of the current slot. */
static struct burn_counts *current_slot(struct burn_class *cls, uint64_t now_us)
{
	uint64_t number = now_us / BURN_SLOT_US;
	uint32_t i = (uint32_t)(number % BURN_SLOTS);

	if (cls->slot_numbers[i] != number) {
		memset(&cls->slots[i], 0, sizeof(cls->slots[i]));
		cls->slot_numbers[i] = number;
	}
	return &cls->slots[i];
}

/* Counts a call. A class is not counted if the table already has BURN_CLASSES_MAX classes or if
 * there is no memory for it. */
void burn_record(struct burn *burn, const struct burn_call *call, uint64_t now_us)
{
	uint32_t position = index_position(burn, call->service, call->class_name);
	struct burn_class *cls = burn->index[position] ? burn->classes[burn->index[position] - 1]
						       : add_class(burn, position, call);
	struct burn_counts *counts;

	if (!cls)
		return;
	counts = current_slot(cls, now_us);
	switch (call->outcome) {
	case OUTCOME_ANSWERED:
		counts->answered++;
		if (!call->failed && call->latency_us <= call->target_us)
			counts->in_time++;
		return;
	case OUTCOME_NOT_RUN:
		counts->not_run++;
		break;
	case OUTCOME_UNKNOWN:
	case OUTCOME_COUNT:
		counts->unknown++;
		break;
	}
	if ((unsigned int)call->reason < REASON_COUNT)
		cls->reasons[call->reason]++;
}

/* Returns the number of classes with at least one counted call. */
size_t burn_class_count(const struct burn *burn)
{
	return burn->count;
}

/* Returns the class at an index, which must be below burn_class_count(). */
const struct burn_class *burn_class_at(const struct burn *burn, size_t index)
{
	return burn->classes[index];
}

/* Returns a class, or NULL if no call of it was counted. */
const struct burn_class *burn_find(const struct burn *burn, const char *service,
				   const char *class_name)
{
	uint16_t index = burn->index[index_position(burn, service, class_name)];

	return index ? burn->classes[index - 1] : NULL;
}

/* Sums the slots of the last window_us, at most an hour. The current slot is one of them. */
struct burn_counts burn_sum(const struct burn_class *cls, uint64_t window_us, uint64_t now_us)
{
	uint64_t newest = now_us / BURN_SLOT_US;
	uint64_t wanted = window_us / BURN_SLOT_US;
	struct burn_counts sum = {0, 0, 0, 0};

	for (uint32_t i = 0; i < BURN_SLOTS; i++) {
		const struct burn_counts *slot = &cls->slots[i];

		if (cls->slot_numbers[i] + wanted <= newest || cls->slot_numbers[i] > newest)
			continue;
		sum.answered += slot->answered;
		sum.in_time += slot->in_time;
		sum.not_run += slot->not_run;
		sum.unknown += slot->unknown;
	}
	return sum;
}

/* Returns the time since which calls are counted. */
uint64_t burn_started_us(const struct burn *burn)
{
	return burn->started_us;
}

/*
 * Crash table: a small array, searched from its start. It is empty as long as no backend server
 * ends while it runs calls.
 */
#include "fescuemill/decide/crash_table.h"

#include <string.h>

#define US_PER_MS      1000ULL
#define RELAPSES_MAX   15 /* four bits of a message */
#define RELAPSES_AGAIN 4  /* from here on the refusal is as long as it gets */
#define GENERATION_MAX 255

/* Refused requests may fill the table up to here; the rest is for those that may become so. */
#define CRASH_CONVICTED_MAX (CRASH_RECORDS_MAX * 3 / 4)

static struct crash_record *find(const struct crash_table *table, uint64_t digest)
{
	for (uint32_t i = 0; i < table->count; i++) {
		if (table->records[i].item.digest == digest)
			return (struct crash_record *)&table->records[i];
	}
	return NULL;
}

static uint64_t age_us(const struct crash_record *record, uint64_t now_us)
{
	return now_us > record->changed_us ? now_us - record->changed_us : 0;
}

static bool is_convicted(const struct crash_item *item)
{
	return !item->is_answered && item->end_count == CRASH_ENDS_REFUSED;
}

/* Returns for how long a request is refused after its latest end. */
static uint64_t refusal_us(const struct crash_item *item)
{
	uint64_t time_us = CRASH_REFUSED_US;

	if (item->relapses == 0 && !item->is_sole)
		return CRASH_REFUSED_SHARED_US;
	for (uint8_t i = 0; i < item->relapses && time_us < CRASH_REFUSED_US_MAX; i++)
		time_us *= 2;
	return time_us < CRASH_REFUSED_US_MAX ? time_us : CRASH_REFUSED_US_MAX;
}

/* Returns for how long a record is kept after its latest change. One of a request that was refused
 * outlasts the refusal, so that its next end counts at once. */
static uint64_t kept_us(const struct crash_item *item)
{
	return is_convicted(item) ? refusal_us(item) + CRASH_REFUSED_US_MAX : CRASH_SUSPECT_US;
}

enum crash_verdict crash_judge(const struct crash_table *table, uint64_t digest, uint64_t now_us,
			       uint64_t *refused_us)
{
	const struct crash_record *record = find(table, digest);
	uint64_t limit_us;

	if (!record || record->item.is_answered || record->item.end_count < CRASH_ENDS_APART)
		return CRASH_UNSUSPECTED;
	if (!is_convicted(&record->item))
		return CRASH_RUN_APART;
	limit_us = refusal_us(&record->item);
	if (age_us(record, now_us) >= limit_us)
		return CRASH_RUN_APART;
	*refused_us = limit_us - age_us(record, now_us);
	return CRASH_REFUSE;
}

static bool contains(const uint64_t *digests, uint32_t count, uint64_t digest)
{
	for (uint32_t i = 0; i < count; i++) {
		if (digests[i] == digest)
			return true;
	}
	return false;
}

static uint32_t count_convicted(const struct crash_table *table)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table->count; i++)
		count += is_convicted(&table->records[i].item);
	return count;
}

/* Returns the record to replace in a full table: the oldest one of a request that is not refused,
 * or, if those that are leave the others too little room, the oldest one of these. */
static struct crash_record *find_replaced(struct crash_table *table)
{
	bool replaces_convicted = count_convicted(table) > CRASH_CONVICTED_MAX;
	struct crash_record *oldest = NULL;

	for (uint32_t i = 0; i < table->count; i++) {
		struct crash_record *record = &table->records[i];

		if (is_convicted(&record->item) == replaces_convicted &&
		    (!oldest || record->changed_us < oldest->changed_us))
			oldest = record;
	}
	return oldest;
}

/* Returns a new record, in place of another one if the table is full. */
static struct crash_record *add(struct crash_table *table, uint64_t digest)
{
	struct crash_record *record;

	if (table->count < CRASH_RECORDS_MAX)
		record = &table->records[table->count++];
	else
		record = find_replaced(table);
	memset(record, 0, sizeof(*record));
	record->item.digest = digest;
	return record;
}

/* Adds an end to a set in ascending order. Returns false if it is known, or if the set has enough.
 */
static bool add_end(struct crash_item *item, uint32_t end_id)
{
	uint32_t at = item->end_count;

	for (uint32_t i = 0; i < item->end_count; i++) {
		if (item->ends[i] == end_id)
			return false;
	}
	if (at == CRASH_ENDS_REFUSED)
		return false;
	for (; at > 0 && item->ends[at - 1] > end_id; at--)
		item->ends[at] = item->ends[at - 1];
	item->ends[at] = end_id;
	item->end_count++;
	return true;
}

/* Records an end of a server for a request that had been let run again. */
static void record_relapse(struct crash_item *item)
{
	if (item->relapses < RELAPSES_MAX) {
		item->relapses++;
		return;
	}
	item->generation++;
	item->relapses = RELAPSES_AGAIN;
}

/* Records an end of a server for one request that ran then. */
static void record_end(struct crash_table *table, uint64_t digest, uint32_t end_id, uint64_t now_us)
{
	struct crash_record *record = find(table, digest);

	if (!record)
		record = add(table, digest);
	if (record->item.is_answered) {
		record->item.is_answered = false;
		record->item.is_sole = false;
		record->item.end_count = 0;
		record->item.generation++;
	}
	if (is_convicted(&record->item) && age_us(record, now_us) >= refusal_us(&record->item))
		record_relapse(&record->item);
	else if (!add_end(&record->item, end_id))
		return;
	record->changed_us = now_us;
}

void crash_record_end(struct crash_table *table, const uint64_t *digests, uint32_t count,
		      uint32_t end_id, uint64_t now_us)
{
	struct crash_record *sole = NULL;
	uint32_t convicted = 0;

	for (uint32_t i = 0; i < count; i++)
		record_end(table, digests[i], end_id, now_us);
	for (uint32_t i = 0; i < table->count; i++) {
		struct crash_record *record = &table->records[i];

		if (!is_convicted(&record->item) || !contains(digests, count, record->item.digest))
			continue;
		convicted++;
		sole = record;
	}
	if (convicted == 1)
		sole->item.is_sole = true;
}

bool crash_record_answer(struct crash_table *table, uint64_t digest, uint64_t now_us)
{
	struct crash_record *record = find(table, digest);

	if (!record || record->item.is_answered)
		return false;
	record->item.is_answered = true;
	record->item.relapses = 0;
	record->changed_us = now_us;
	return true;
}

/* Returns true if one generation is later than another. They wrap around. */
static bool is_later_generation(uint8_t a, uint8_t b)
{
	return a != b && (uint8_t)(a - b) <= GENERATION_MAX / 2;
}

/* Merges two states of the same generation. Returns true if the record has changed. */
static bool merge_same(struct crash_record *record, const struct crash_item *item)
{
	bool has_changed = false;

	if (record->item.is_answered)
		return false;
	if (item->is_answered) {
		record->item.is_answered = true;
		record->item.relapses = 0;
		return true;
	}
	for (uint32_t i = 0; i < item->end_count; i++)
		has_changed |= add_end(&record->item, item->ends[i]);
	if (item->is_sole && !record->item.is_sole) {
		record->item.is_sole = true;
		has_changed = true;
	}
	if (item->relapses > record->item.relapses) {
		record->item.relapses = item->relapses;
		has_changed = true;
	}
	return has_changed;
}

bool crash_merge(struct crash_table *table, const struct crash_item *item, uint64_t now_us)
{
	struct crash_record *record = find(table, item->digest);
	uint64_t told_us = item->age_ms * US_PER_MS;
	bool has_changed = true;

	if (told_us >= kept_us(item))
		return false;
	if (record && is_later_generation(record->item.generation, item->generation))
		return false;
	if (!record || is_later_generation(item->generation, record->item.generation)) {
		if (!record)
			record = add(table, item->digest);
		record->item = *item;
	} else {
		has_changed = merge_same(record, item);
	}
	if (has_changed)
		record->changed_us = now_us > told_us ? now_us - told_us : 0;
	return has_changed;
}

/* Fills in a record as it is told, with its age. */
static void fill_item(const struct crash_record *record, struct crash_item *out, uint64_t now_us)
{
	*out = record->item;
	out->age_ms = (uint32_t)(age_us(record, now_us) / US_PER_MS);
}

bool crash_find(const struct crash_table *table, uint64_t digest, struct crash_item *out,
		uint64_t now_us)
{
	const struct crash_record *record = find(table, digest);

	if (record)
		fill_item(record, out, now_us);
	return record != NULL;
}

uint32_t crash_tell(struct crash_table *table, struct crash_item *out, uint32_t room,
		    uint64_t now_us)
{
	uint32_t count = table->count < room ? table->count : room;

	for (uint32_t i = 0; i < count; i++) {
		fill_item(&table->records[(table->next_told + i) % table->count], &out[i], now_us);
	}
	if (table->count > 0)
		table->next_told = (table->next_told + count) % table->count;
	return count;
}

void crash_expire(struct crash_table *table, uint64_t now_us)
{
	for (uint32_t i = table->count; i-- > 0;) {
		struct crash_record *record = &table->records[i];

		if (age_us(record, now_us) >= kept_us(&record->item))
			*record = table->records[--table->count];
	}
	if (table->next_told >= table->count)
		table->next_told = 0;
}

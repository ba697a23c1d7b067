/*
 * Table of the keyed calls that ran on this gate. For a key that is not in the table it decides
 * whether a call with that key may have run before, here or on a previous owner; if so, the call is
 * not run again. The time of the first use is read from keys that are UUIDs of version 7. Any other
 * key is assumed to have been first used within the last retention period.
 */
#include "fescuemill/decide/key.h"

#include "fescuemill/decide/due_heap.h"
#include "fescuemill/decide/key_owner.h"
#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define KEY_RETENTION_MS 600000ULL
#define KEY_SPREAD_MS	 10000ULL

struct key_record {
	struct key_hash hash;
	void *user;
	uint64_t bytes;
	bool is_running;
	bool has_answer;
};

struct key_table {
	struct key_settings settings;
	struct key_view view;
	struct slot_map map;
	struct due_heap due;
	struct key_record *records;
	uint64_t bytes;
};

/* Fills in the default settings. The caller sets own_id and start_ms. */
void key_default_settings(struct key_settings *settings)
{
	*settings = (struct key_settings){
		.retention_ms = KEY_RETENTION_MS,
		.spread_ms = KEY_SPREAD_MS,
		.records_max = 16384,
		.members_max = 1024,
		.bytes_max = 16ULL * 1024 * 1024,
	};
}

/* Computes the hash of a key and its service, so that equal keys of two services have different
 * hashes. */
void key_hash_of(const char *service, const uint8_t *key, size_t size, struct key_hash *hash)
{
	uint64_t seed = XXH3_64bits(service, strlen(service));
	XXH128_hash_t value = XXH3_128bits_withSeed(key, size, seed);

	hash->high = value.high64;
	hash->low = value.low64;
}

/* Returns the value of a hexadecimal digit, or -1 for any other character. */
static int digit_value(uint8_t c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* Checks whether a key has the form of a UUID of version 7. */
static bool is_uuid7(const uint8_t *key, size_t size)
{
	if (size != 36 || key[14] != '7')
		return false;
	for (size_t i = 0; i < size; i++) {
		bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;

		if (is_dash ? key[i] != '-' : digit_value(key[i]) < 0)
			return false;
	}
	return true;
}

/* Returns the time at which a key was created, in wall clock milliseconds, if the key is a UUID of
 * version 7. Returns 0 for any other key. */
uint64_t key_first_use_ms(const uint8_t *key, size_t size)
{
	uint64_t time_ms = 0;

	if (!is_uuid7(key, size))
		return 0;
	for (size_t i = 0; i < 13; i++) {
		if (key[i] != '-')
			time_ms = time_ms * 16 + (uint64_t)digit_value(key[i]);
	}
	return time_ms;
}

/* Returns the outcome and reason that the caller gets for a verdict, which must not be KEY_RUN or
 * KEY_REPLAY. */
void key_verdict_outcome(enum key_verdict verdict, enum call_outcome *outcome,
			 enum call_reason *reason)
{
	switch (verdict) {
	case KEY_RUNNING:
		*outcome = OUTCOME_UNKNOWN;
		*reason = REASON_KEY_RUNNING;
		break;
	case KEY_NOT_OWNER:
		*outcome = OUTCOME_NOT_RUN;
		*reason = REASON_NO_BACKEND;
		break;
	case KEY_FULL:
		*outcome = OUTCOME_NOT_RUN;
		*reason = REASON_OVERLOAD;
		break;
	default:
		*outcome = OUTCOME_UNKNOWN;
		*reason = REASON_KEY_HISTORY;
		break;
	}
}

/* Allocates an empty table. Errors: ERROR_MEMORY. */
int key_create(struct key_table **out, const struct key_settings *settings, struct error *err)
{
	struct key_table *table = calloc(1, sizeof(*table));

	if (!table)
		return error_set(err, ERROR_MEMORY, "cannot allocate the key table");
	table->settings = *settings;
	table->records = calloc(settings->records_max + 1, sizeof(*table->records));
	if (!table->records || key_view_init(&table->view, settings->members_max, err) ||
	    slot_map_init(&table->map, settings->records_max, err) ||
	    due_heap_init(&table->due, settings->records_max, err)) {
		key_destroy(table);
		return error_set(err, ERROR_MEMORY, "cannot allocate a key table of %u records",
				 settings->records_max);
	}
	*out = table;
	return 0;
}

/* Frees the table, but not what the user pointers refer to. To get those pointers, the gate shell
 * first calls key_expire() with now_ms = UINT64_MAX - 1 until it returns false. */
void key_destroy(struct key_table *table)
{
	if (!table)
		return;
	key_view_release(&table->view);
	slot_map_release(&table->map);
	due_heap_release(&table->due);
	free(table->records);
	free(table);
}

/* Updates the members of the service to this node's current view, which includes the node itself.
 * Must be called at every change and at least once a second, since a node with an outdated view
 * serves no keys. Dead members are listed as KEY_MEMBER_DEAD for as long as they are known.
 * Errors: ERROR_LIMIT. */
int key_set_members(struct key_table *table, const struct key_member *members, uint32_t count,
		    uint64_t now_ms, struct error *err)
{
	return key_view_set(&table->view, &table->settings, members, count, now_ms, err);
}

/* Looks up the owner of a key. Returns false if there is none. A keyed call whose owner is not
 * alive must be answered with "not run" and not be sent to another node. */
bool key_owner(const struct key_table *table, const struct key_hash *hash, uint64_t now_ms,
	       uint64_t *node_id, bool *is_alive)
{
	const struct key_view_member *owner =
		key_view_owner(&table->view, &table->settings, hash, now_ms);

	if (!owner)
		return false;
	*node_id = owner->node_id;
	*is_alive = owner->state == KEY_MEMBER_ALIVE;
	return true;
}

/* Returns the record of a key, or NULL if there is none. */
static struct key_record *record_of(struct key_table *table, const struct key_hash *hash)
{
	uint32_t slot = slot_map_first(&table->map, hash->low);

	for (; slot != SLOT_NONE; slot = slot_map_next(&table->map, slot)) {
		struct key_record *rec = &table->records[slot];

		if (rec->hash.low == hash->low && rec->hash.high == hash->high)
			return rec;
	}
	return NULL;
}

static void record_drop(struct key_table *table, struct key_record *rec)
{
	uint32_t slot = (uint32_t)(rec - table->records);

	table->bytes -= rec->bytes;
	due_heap_remove(&table->due, slot);
	slot_map_remove(&table->map, rec->hash.low, slot);
}

/* Returns true if a call with a key that is not in the table may have run before: on an earlier
 * incarnation of this node, or on a previous owner of the key. A first use in the future, beyond
 * clock skew, is treated as unknown. */
static bool may_have_run(const struct key_table *table, const struct key_hash *hash,
			 uint64_t first_use_ms, uint64_t now_ms)
{
	const struct key_settings *settings = &table->settings;
	uint64_t since_ms = key_view_acquired_ms(&table->view, settings, hash, now_ms);

	if (since_ms < settings->start_ms)
		since_ms = settings->start_ms;
	since_ms += settings->spread_ms;
	if (first_use_ms == 0 || first_use_ms > now_ms + settings->spread_ms)
		return now_ms < since_ms + settings->retention_ms;
	if (first_use_ms + settings->retention_ms < now_ms + settings->spread_ms)
		return true;
	return first_use_ms < since_ms;
}

/* Decides what to do with a keyed call that arrived at this gate. first_use_ms is 0 if the key does
 * not contain a time. For KEY_REPLAY, user is set to the pointer that was passed to key_finished(),
 * otherwise to NULL. */
enum key_verdict key_begin(struct key_table *table, const struct key_hash *hash,
			   uint64_t first_use_ms, uint64_t now_ms, void **user)
{
	struct key_record *rec = record_of(table, hash);
	uint64_t owner_id;
	bool is_alive;
	uint32_t slot;

	*user = NULL;
	if (rec && rec->is_running)
		return KEY_RUNNING;
	if (rec && rec->has_answer) {
		*user = rec->user;
		return KEY_REPLAY;
	}
	if (rec)
		return KEY_HISTORY;
	if (!key_owner(table, hash, now_ms, &owner_id, &is_alive) ||
	    owner_id != table->settings.own_id ||
	    !key_view_may_serve(&table->view, &table->settings, hash, now_ms))
		return KEY_NOT_OWNER;
	if (may_have_run(table, hash, first_use_ms, now_ms))
		return KEY_HISTORY;
	slot = slot_map_insert(&table->map, hash->low);
	if (slot == SLOT_NONE)
		return KEY_FULL;
	table->records[slot] = (struct key_record){.hash = *hash, .is_running = true};
	return KEY_RUN;
}

/* Records the outcome of a keyed call. After OUTCOME_NOT_RUN the key is removed, so that a call
 * with it may run. Otherwise the key is kept for the retention time, and with OUTCOME_ANSWERED (a
 * complete answer) also user, unless it is NULL or the stored answers would exceed bytes_max.
 * Returns true if the table now holds user. */
bool key_finished(struct key_table *table, const struct key_hash *hash, enum call_outcome outcome,
		  uint64_t bytes, void *user, uint64_t now_ms)
{
	struct key_record *rec = record_of(table, hash);

	if (!rec || !rec->is_running)
		return false;
	if (outcome == OUTCOME_NOT_RUN) {
		record_drop(table, rec);
		return false;
	}
	rec->is_running = false;
	due_heap_set(&table->due, (uint32_t)(rec - table->records),
		     now_ms + table->settings.retention_ms + 2 * table->settings.spread_ms);
	if (outcome != OUTCOME_ANSWERED || !user ||
	    table->bytes + bytes > table->settings.bytes_max)
		return false;
	rec->has_answer = true;
	rec->bytes = bytes;
	rec->user = user;
	table->bytes += bytes;
	return true;
}

/* Removes one key whose retention time is over. Returns false if there is none. user is set to the
 * pointer stored with the key, which the gate shell must free, or to NULL. */
bool key_expire(struct key_table *table, uint64_t now_ms, void **user)
{
	struct key_record *rec;

	*user = NULL;
	if (due_heap_first_us(&table->due) > now_ms)
		return false;
	rec = &table->records[due_heap_first(&table->due)];
	*user = rec->user;
	record_drop(table, rec);
	return true;
}

/* Returns the number of keys in the table. */
uint32_t key_count(const struct key_table *table)
{
	return table->map.count;
}

/* Returns the size of all stored answers in bytes. */
uint64_t key_bytes(const struct key_table *table)
{
	return table->bytes;
}

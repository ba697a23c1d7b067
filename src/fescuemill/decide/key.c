/*
 * Keyed calls at their home: which keys ran here, and whether a key that is not known can have run
 * before. A key carries its first use (a UUID of version 7), or it is taken to be at most the
 * retention old. One that can have run before this table was complete for it is not run again.
 */
#include "fescuemill/decide/key.h"

#include "fescuemill/decide/due_heap.h"
#include "fescuemill/decide/key_home.h"
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

/* Fills the settings that the node uses unless its own say otherwise; own_id and start_ms are the
 * caller's to set. */
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

/* Hashes a key together with its service, so that equal keys of two services differ. */
void key_hash_of(const char *service, const uint8_t *key, size_t size, struct key_hash *hash)
{
	uint64_t seed = XXH3_64bits(service, strlen(service));
	XXH128_hash_t value = XXH3_128bits_withSeed(key, size, seed);

	hash->high = value.high64;
	hash->low = value.low64;
}

/* Gives the value of a hexadecimal digit, -1 for any other character. */
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

/* Tells whether a key has the form of a UUID of version 7. */
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

/* Reads the time at which a key was made, in wall clock milliseconds, from a UUID of version 7;
 * 0 when the key states none. */
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

/* Gives what the caller is told for a verdict other than KEY_RUN and KEY_REPLAY. */
void key_verdict_outcome(enum key_verdict verdict, enum call_outcome *outcome,
			 enum call_reason *reason)
{
	switch (verdict) {
	case KEY_RUNNING:
		*outcome = OUTCOME_UNKNOWN;
		*reason = REASON_KEY_RUNNING;
		break;
	case KEY_NOT_HOME:
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

/* Makes an empty table. Errors: ERROR_MEMORY. */
int key_create(struct key_table **out, const struct key_settings *settings, struct error *err)
{
	struct key_table *table = calloc(1, sizeof(*table));

	if (!table)
		return error_set(err, ERROR_MEMORY, "key table");
	table->settings = *settings;
	table->records = calloc(settings->records_max + 1, sizeof(*table->records));
	if (!table->records || key_view_init(&table->view, settings->members_max, err) ||
	    slot_map_init(&table->map, settings->records_max, err) ||
	    due_heap_init(&table->due, settings->records_max, err)) {
		key_destroy(table);
		return error_set(err, ERROR_MEMORY, "key table of %u", settings->records_max);
	}
	*out = table;
	return 0;
}

/* Frees the table. What user pointers hold is the shell's to free, by key_expire until the end of
 * time. */
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

/* Sets the members of the service as this node knows them now, itself included: at every change,
 * and at least once a second, since a node whose view is old serves no keys. Dead members are
 * listed as such while their death is known. Errors: ERROR_LIMIT. */
int key_set_members(struct key_table *table, const struct key_member *members, uint32_t count,
		    uint64_t now_ms, struct error *err)
{
	return key_view_set(&table->view, &table->settings, members, count, now_ms, err);
}

/* Finds the home of a key; false when there is none. A keyed call whose home is not alive must be
 * told "not run", not be sent elsewhere. */
bool key_home(const struct key_table *table, const struct key_hash *hash, uint64_t now_ms,
	      uint64_t *node_id, bool *is_alive)
{
	const struct key_seat *home = key_view_home(&table->view, &table->settings, hash, now_ms);

	if (!home)
		return false;
	*node_id = home->node_id;
	*is_alive = home->state == KEY_MEMBER_ALIVE;
	return true;
}

/* Finds what is known of a key. */
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

/* Takes a key out of the table. */
static void record_drop(struct key_table *table, struct key_record *rec)
{
	uint32_t slot = (uint32_t)(rec - table->records);

	table->bytes -= rec->bytes;
	due_heap_remove(&table->due, slot);
	slot_map_remove(&table->map, rec->hash.low, slot);
}

/* Tells whether a key that is not in the table can have run before: here in an earlier life, or at
 * the home that it had before. */
static bool may_have_run(const struct key_table *table, const struct key_hash *hash,
			 uint64_t first_use_ms, uint64_t now_ms)
{
	const struct key_settings *settings = &table->settings;
	uint64_t since_ms = key_view_moved_ms(&table->view, settings, hash, now_ms);

	if (since_ms < settings->start_ms)
		since_ms = settings->start_ms;
	since_ms += settings->spread_ms;
	if (first_use_ms == 0 || first_use_ms > now_ms + settings->spread_ms)
		return now_ms < since_ms + settings->retention_ms;
	if (first_use_ms + settings->retention_ms < now_ms + settings->spread_ms)
		return true;
	return first_use_ms < since_ms;
}

/* Decides on a keyed call that came to this gate. first_use_ms is 0 when the key states none. For
 * KEY_REPLAY, user is what key_finished was given. */
enum key_verdict key_begin(struct key_table *table, const struct key_hash *hash,
			   uint64_t first_use_ms, uint64_t now_ms, void **user)
{
	struct key_record *rec = record_of(table, hash);
	uint64_t home_id;
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
	if (!key_home(table, hash, now_ms, &home_id, &is_alive) ||
	    home_id != table->settings.own_id ||
	    !key_view_may_serve(&table->view, &table->settings, hash, now_ms))
		return KEY_NOT_HOME;
	if (may_have_run(table, hash, first_use_ms, now_ms))
		return KEY_HISTORY;
	slot = slot_map_insert(&table->map, hash->low);
	if (slot == SLOT_NONE)
		return KEY_FULL;
	table->records[slot] = (struct key_record){.hash = *hash, .is_running = true};
	return KEY_RUN;
}

/* Notes how a keyed call ended. NOT_RUN forgets the key, which may then run. Otherwise the key is
 * kept for the retention, with the answer if it is whole and fits; tells whether user was kept. */
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
	if (outcome != OUTCOME_ANSWERED || table->bytes + bytes > table->settings.bytes_max)
		return false;
	rec->has_answer = true;
	rec->bytes = bytes;
	rec->user = user;
	table->bytes += bytes;
	return true;
}

/* Forgets one key whose retention is over; false when there is none. user is what was kept for it,
 * for the shell to free, or NULL. */
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

/* Gives the number of keys in the table. */
uint32_t key_count(const struct key_table *table)
{
	return table->map.count;
}

/* Gives the bytes of kept answers. */
uint64_t key_bytes(const struct key_table *table)
{
	return table->bytes;
}

/*
 * Keyed calls (calls with an Idempotency-Key): each key has one owner among the members of its
 * service, and the owner records the calls that it ran for the key. No I/O and no clock in here.
 * Times are wall clock milliseconds because keys outlive processes.
 */
#ifndef FESCUEMILL_DECIDE_KEY_H
#define FESCUEMILL_DECIDE_KEY_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/call_defs.h"

#include <stddef.h>

struct key_settings {
	uint64_t own_id;       /* node id of this gate */
	uint64_t start_ms;     /* start of this process; calls run before it are not in the table */
	uint64_t retention_ms; /* how long a key is remembered and a dead member keeps its keys */
	uint64_t spread_ms;    /* bound on clock skew and on how long views of members differ */
	uint32_t records_max;  /* maximum number of keys in the table */
	uint32_t members_max; /* maximum number of members of the service, departed ones included */
	uint64_t bytes_max;   /* maximum size of all stored answers together */
};

/* Hash of a key and its service. */
struct key_hash {
	uint64_t high;
	uint64_t low;
};

enum key_member_state {
	KEY_MEMBER_ALIVE, /* alive or suspect: it may still run calls */
	KEY_MEMBER_LEFT,  /* announced that it accepts no more calls */
	KEY_MEMBER_DEAD,  /* does not answer; it may be alive behind a broken link */
};

/* Current state of a member of the service, as the gate shell or the entry sees it. */
struct key_member {
	uint64_t node_id;
	enum key_member_state state;
};

enum key_verdict {
	KEY_RUN,       /* new key: run the call, then call key_finished() */
	KEY_REPLAY,    /* the call has run: send the stored answer again */
	KEY_RUNNING,   /* a call with this key is running */
	KEY_HISTORY,   /* a call with this key may have run before: do not run it again */
	KEY_NOT_OWNER, /* refused: this gate does not own the key or may not serve it now */
	KEY_FULL,      /* refused: the table has no free record for the key */
	KEY_VERDICT_COUNT,
};

struct key_table;

void key_default_settings(struct key_settings *settings);
void key_hash_of(const char *service, const uint8_t *key, size_t size, struct key_hash *hash);
uint64_t key_first_use_ms(const uint8_t *key, size_t size);
void key_verdict_outcome(enum key_verdict verdict, enum call_outcome *outcome,
			 enum call_reason *reason);

int key_create(struct key_table **out, const struct key_settings *settings, struct error *err);
void key_destroy(struct key_table *table);
int key_set_members(struct key_table *table, const struct key_member *members, uint32_t count,
		    uint64_t now_ms, struct error *err);
bool key_owner(const struct key_table *table, const struct key_hash *hash, uint64_t now_ms,
	       uint64_t *node_id, bool *is_alive);
enum key_verdict key_begin(struct key_table *table, const struct key_hash *hash,
			   uint64_t first_use_ms, uint64_t now_ms, void **user);
bool key_finished(struct key_table *table, const struct key_hash *hash, enum call_outcome outcome,
		  uint64_t bytes, void *user, uint64_t now_ms);
bool key_expire(struct key_table *table, uint64_t now_ms, void **user);
uint32_t key_count(const struct key_table *table);
uint64_t key_bytes(const struct key_table *table);

#endif

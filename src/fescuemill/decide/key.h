/*
 * Keyed calls (Idempotency-Key): where a key has its home, and what the home knows of it. Pure;
 * times are wall clock milliseconds, since keys outlive processes.
 */
#ifndef FESCUEMILL_DECIDE_KEY_H
#define FESCUEMILL_DECIDE_KEY_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/call_defs.h"

#include <stddef.h>

struct key_settings {
	uint64_t own_id;       /* node id of this gate */
	uint64_t start_ms;     /* when this process began; its table is empty before */
	uint64_t retention_ms; /* how long a key is remembered, and a dead home kept */
	uint64_t spread_ms;    /* bound on clock skew and on how long views of members differ */
	uint32_t records_max;  /* keys remembered */
	uint32_t members_max;  /* members of the service, departed ones included */
	uint64_t bytes_max;    /* kept answers */
};

/* A key of one service, hashed. */
struct key_hash {
	uint64_t high;
	uint64_t low;
};

enum key_member_state {
	KEY_MEMBER_ALIVE, /* or suspect: it may still run calls */
	KEY_MEMBER_LEFT,  /* said itself that it takes no more calls */
	KEY_MEMBER_DEAD,  /* does not answer; it may be alive beyond a broken link */
};

/* What the shell knows of a member of the service now. */
struct key_member {
	uint64_t node_id;
	enum key_member_state state;
};

enum key_verdict {
	KEY_RUN,      /* new: run it; key_finished must follow */
	KEY_REPLAY,   /* ran: give the kept answer again */
	KEY_RUNNING,  /* runs now */
	KEY_HISTORY,  /* may have run: not run again */
	KEY_NOT_HOME, /* not run: this gate is not the key's home, or is cut off */
	KEY_FULL,     /* not run: no room to remember it */
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
bool key_home(const struct key_table *table, const struct key_hash *hash, uint64_t now_ms,
	      uint64_t *node_id, bool *is_alive);
enum key_verdict key_begin(struct key_table *table, const struct key_hash *hash,
			   uint64_t first_use_ms, uint64_t now_ms, void **user);
bool key_finished(struct key_table *table, const struct key_hash *hash, enum call_outcome outcome,
		  uint64_t bytes, void *user, uint64_t now_ms);
bool key_expire(struct key_table *table, uint64_t now_ms, void **user);
uint32_t key_count(const struct key_table *table);
uint64_t key_bytes(const struct key_table *table);

#endif

/*
 * The table behind the attempts at the gate: records of attempts and of entry nodes. Used by
 * attempt_gate.c only.
 */
#ifndef FESCUEMILL_DECIDE_ATTEMPT_GATE_TABLE_H
#define FESCUEMILL_DECIDE_ATTEMPT_GATE_TABLE_H

#include "fescuemill/decide/attempt_gate.h"
#include "fescuemill/decide/due_heap.h"
#include "fescuemill/decide/slot_map.h"

struct record {
	struct attempt_id id;
	void *user;
	uint64_t deadline_us;
	uint64_t bytes;
	uint32_t epoch; /* of the latest message about it */
	uint8_t state;	/* enum attempt_gate_state */
	uint8_t outcome;
	uint8_t reason;
	uint8_t call_kind; /* enum link_kind that the call comes or came by */
	bool has_answer;   /* the shell holds the answer's bytes */
};

/* What is remembered of one entry node. */
struct entry_peer {
	struct node_life life;
	uint64_t seen_us;
	uint32_t records;
	uint32_t epochs[LINK_KIND_COUNT];    /* highest seen */
	uint64_t forgotten[LINK_KIND_COUNT]; /* highest sequence that left the table */
};

struct attempt_gate {
	struct attempt_gate_settings settings;
	struct slot_map record_map;
	struct record *records;
	struct due_heap due;
	struct slot_map peer_map;
	struct entry_peer *peers;
	uint64_t bytes;
	uint32_t live;
};

struct record *record_find(struct attempt_gate *gate, const struct attempt_id *id);
uint32_t record_slot(const struct attempt_gate *gate, const struct record *rec);
struct record *record_add(struct attempt_gate *gate, struct entry_peer *peer,
			  const struct attempt_id *id, uint32_t epoch);
void record_remove(struct attempt_gate *gate, struct record *rec);
void record_set_bytes(struct attempt_gate *gate, struct record *rec, uint64_t bytes);
void record_set_due(struct attempt_gate *gate, const struct record *rec, uint64_t due_us);

struct entry_peer *entry_peer_get(struct attempt_gate *gate, const struct node_life *life,
				  uint64_t now_us);
void entry_peer_restarted(struct entry_peer *peer, uint64_t incarnation);
void entry_peer_forget(struct entry_peer *peer, enum link_kind kind, uint64_t sequence);
bool entry_peer_forgot_any(const struct entry_peer *peer, uint64_t sequence);

#endif

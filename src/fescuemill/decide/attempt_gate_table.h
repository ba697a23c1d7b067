/*
 * Table of the attempts at the gate: records of attempts and of entry nodes. Private to
 * attempt_gate.c.
 */
#ifndef FESCUEMILL_DECIDE_ATTEMPT_GATE_TABLE_H
#define FESCUEMILL_DECIDE_ATTEMPT_GATE_TABLE_H

#include "fescuemill/decide/attempt_gate.h"
#include "fescuemill/decide/due_heap.h"
#include "fescuemill/decide/slot_map.h"

struct record {
	struct attempt_id id;
	void *user;	      /* the shell's data */
	uint64_t deadline_us; /* on this node's clock */
	uint64_t bytes;	      /* size of the request or answer that the shell stores */
	uint32_t epoch;	      /* of the latest message about the attempt */
	uint8_t state;	      /* enum attempt_gate_state */
	uint8_t outcome;      /* enum call_outcome */
	uint8_t reason;	      /* enum call_reason */
	uint8_t call_kind;    /* enum link_kind of the first message about the attempt */
	bool has_answer;      /* the shell stores the answer */
};

/* State of one entry node. */
struct entry_peer {
	struct node_incarnation identity;
	uint64_t seen_us;		     /* time of the latest message */
	uint32_t records;		     /* attempts in the table */
	uint32_t epochs[LINK_KIND_COUNT];    /* highest epoch received, by kind of link */
	uint64_t forgotten[LINK_KIND_COUNT]; /* highest sequence number removed or not stored */
};

struct attempt_gate {
	struct attempt_gate_settings settings;
	struct slot_map record_map;
	struct record *records;
	struct due_heap due;
	struct slot_map peer_map;
	struct entry_peer *peers;
	uint64_t bytes; /* size of the data that the shell stores for all records */
	uint32_t live;	/* records of attempts that wait or run */
};

struct record *record_find(struct attempt_gate *gate, const struct attempt_id *id);
uint32_t record_slot(const struct attempt_gate *gate, const struct record *rec);
struct record *record_add(struct attempt_gate *gate, struct entry_peer *peer,
			  const struct attempt_id *id, uint32_t epoch);
void record_remove(struct attempt_gate *gate, struct record *rec);
void record_set_bytes(struct attempt_gate *gate, struct record *rec, uint64_t bytes);
void record_set_due(struct attempt_gate *gate, const struct record *rec, uint64_t due_us);

struct entry_peer *entry_peer_get(struct attempt_gate *gate,
				  const struct node_incarnation *identity, uint64_t now_us);
void entry_peer_reset(struct entry_peer *peer, uint64_t incarnation);
void entry_peer_forget(struct entry_peer *peer, enum link_kind kind, uint64_t sequence);
bool entry_peer_may_have_received(const struct entry_peer *peer, uint64_t sequence);

#endif

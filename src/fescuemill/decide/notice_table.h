/*
 * Notice table: what an entry last heard, through each gate, of a backend server that states a
 * limit or that it is leaving. A gate that restarts has forgotten it; the entry sends it along with
 * the next calls. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_NOTICE_TABLE_H
#define FESCUEMILL_DECIDE_NOTICE_TABLE_H

#include "fescuemill/decide/notice_defs.h"
#include "fescuemill/decide/slot_map.h"

struct notice_entry {
	uint64_t node_id; /* of the gate; 0: the slot is free */
	struct server_notice notice;
};

struct notice_table {
	struct slot_map map;
	struct notice_entry *entries;
};

int notice_table_init(struct notice_table *table, uint32_t capacity, struct error *err);
void notice_table_release(struct notice_table *table);
/* Stores the latest word. One that states nothing removes the entry; with no room, it is dropped.
 */
void notice_table_record(struct notice_table *table, uint64_t node_id,
			 const struct server_notice *notice);
/* Returns the latest word heard through a gate, or NULL if there is none. */
const struct server_notice *notice_table_find(const struct notice_table *table, uint64_t node_id);
/* Removes the entries of the gates that `is_known` returns false for. */
void notice_table_sweep(struct notice_table *table, bool (*is_known)(void *user, uint64_t node_id),
			void *user);

#endif

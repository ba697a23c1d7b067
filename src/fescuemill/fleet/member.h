/*
 * Member table: every node that this node knows, ordered by what each said last of itself.
 */
#ifndef FESCUEMILL_FLEET_MEMBER_H
#define FESCUEMILL_FLEET_MEMBER_H

#include "fescuemill/base/error.h"
#include "fescuemill/fleet/member_defs.h"

#include <stddef.h>

enum member_change {
	MEMBER_ADDED,
	MEMBER_UPDATED,
	MEMBER_UNCHANGED, /* the same or older news */
	MEMBER_REFUSED,	  /* the table is full, or the member is not valid */
};

struct member_table;

int member_table_open(struct member_table **out, struct error *err);
void member_table_close(struct member_table *table);
enum member_change member_upsert(struct member_table *table, const struct member *news);
bool member_remove(struct member_table *table, uint64_t node_id);
const struct member *member_find(const struct member_table *table, uint64_t node_id);
size_t member_count(const struct member_table *table);
size_t member_count_state(const struct member_table *table, enum member_state state);
/* Members in no stated order, index below member_count(). */
const struct member *member_at(const struct member_table *table, size_t index);
/* Walks the members of a service: start with NULL; NULL ends it. */
const struct member *member_next_of_service(const struct member_table *table, const char *service,
					    const struct member *last);
size_t member_count_service(const struct member_table *table, const char *service);
/* Grows with every change of the table, so that a holder of derived data knows when to redo it. */
uint64_t member_table_revision(const struct member_table *table);
uint64_t member_id_of(const char *name);
/* Where a node of a region reaches the member over ZeroMQ: outside the member's own region at its
 * external address, if it states one. */
const struct node_address *member_node_address(const struct member *member,
					       const char *from_region);
/* Whether the member's gate takes calls as far as is known. */
bool member_is_serving(const struct member *member);
bool member_is_newer(const struct member *news, const struct member *known);
const char *member_state_name(enum member_state state);
const char *backend_state_name(enum backend_state state);
/* The rank of a node for a key by rendezvous hashing; the highest ranks are chosen. */
uint64_t member_rendezvous(uint64_t node_id, const char *key);
/* Whether self is among the `wanted` highest ranks of the live members of its failure domain. */
bool member_is_chosen(const struct member_table *table, const struct member *self, const char *key,
		      uint32_t wanted);

#endif

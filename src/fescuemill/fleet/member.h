/*
 * Member table: the records of all nodes that this node knows. Per node the latest record is kept:
 * by incarnation, then revision, then state.
 */
#ifndef FESCUEMILL_FLEET_MEMBER_H
#define FESCUEMILL_FLEET_MEMBER_H

#include "fescuemill/base/error.h"
#include "fescuemill/fleet/member_defs.h"

#include <stddef.h>

enum member_change {
	MEMBER_ADDED,
	MEMBER_UPDATED,
	MEMBER_UNCHANGED, /* the update was not newer than the known record */
	MEMBER_REFUSED,	  /* the table is full, or the update is not valid */
};

struct member_table;

int member_table_open(struct member_table **out, struct error *err);
void member_table_close(struct member_table *table);
enum member_change member_upsert(struct member_table *table, const struct member *update);
bool member_remove(struct member_table *table, uint64_t node_id);
const struct member *member_find(const struct member_table *table, uint64_t node_id);
size_t member_count(const struct member_table *table);
size_t member_count_state(const struct member_table *table, enum member_state state);
/* Returns the member at an index below member_count(). The order of members is not defined. */
const struct member *member_at(const struct member_table *table, size_t index);
/* Iterates over the members of a service: start with NULL; NULL is returned at the end. */
const struct member *member_next_of_service(const struct member_table *table, const char *service,
					    const struct member *last);
size_t member_count_service(const struct member_table *table, const char *service);
/* Returns a number that grows with every change of the table, so that a user of derived data can
 * see when to recompute them. */
uint64_t member_table_revision(const struct member_table *table);
uint64_t member_id_of(const char *name);
/* Returns the address at which a node of a region reaches the member over ZeroMQ: from another
 * region the external address, if the member has one. */
const struct node_address *member_node_address(const struct member *member,
					       const char *from_region);
/* Returns true if the member's gate takes calls, as far as this node knows. */
bool member_is_serving(const struct member *member);
bool member_is_newer(const struct member *update, const struct member *known);
const char *member_state_name(enum member_state state);
const char *backend_state_name(enum backend_state state);
/* Returns the rank of a node for a key by rendezvous hashing; the nodes with the highest ranks are
 * chosen. */
uint64_t member_rendezvous(uint64_t node_id, const char *key);
/* Returns true if self is among the `wanted` highest-ranked live members of its failure domain. */
bool member_is_chosen(const struct member_table *table, const struct member *self, const char *key,
		      uint32_t wanted);

#endif

/*
 * Evacuations: the orders that nothing more be sent to the backend servers of a failure domain, as
 * this node knows them from the store and from other nodes. For each failure domain the information
 * with the highest revision of the store is in force, whatever the order of its arrival. No I/O.
 */
#ifndef FESCUEMILL_FLEET_EVACUATION_H
#define FESCUEMILL_FLEET_EVACUATION_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/call_defs.h"

#include <jansson.h>

#define EVACUATION_KIND	 "evacuation"
#define EVACUATIONS_MAX	 64 /* failure domains with an order or a remembered withdrawal */
#define EVACUATIONS_TOLD 8  /* most that one gossip packet carries */

/* A withdrawal is told to other nodes for this long after it was learned or asked for. */
#define EVACUATION_WITHDRAWAL_TOLD_US (30ULL * 1000 * 1000)

/* What is known of one failure domain. */
struct evacuation {
	char domain[DOMAIN_NAME_BYTES];
	uint64_t version; /* of the store, as of which it holds */
	bool is_ordered;  /* false: the order was withdrawn */
};

struct evacuation_entry {
	struct evacuation known;
	uint64_t told_until_us; /* of a withdrawal: until then it is told to other nodes */
};

struct evacuation_table {
	uint32_t count;
	uint32_t ordered_count;
	uint32_t next_told;	     /* entry at which the next packet starts */
	uint64_t revision;	     /* number of changes of what is in force */
	uint64_t rejected;	     /* number of objects that are no orders */
	uint64_t applied_through;    /* version of the latest answer of the store */
	uint64_t unsettled_restores; /* orders of before this restore of the store still hold */
	bool is_current;	     /* false: orders may exist that this process has not learned */
	uint64_t stale_since_us;     /* when it became not current */
	struct evacuation_entry list[EVACUATIONS_MAX];
};

enum evacuation_change {
	EVACUATION_CHANGED,   /* now in force */
	EVACUATION_UNCHANGED, /* known already */
	EVACUATION_OLDER,     /* this table has newer information */
	EVACUATION_REFUSED,   /* the name is not valid, or the table is full */
};

/* Returns true if a text can be the name of a failure domain. */
bool evacuation_is_name(const char *name);
/* Applies what is known of one failure domain. `source` is for the log. */
enum evacuation_change evacuation_apply(struct evacuation_table *table,
					const struct evacuation *heard, const char *source,
					uint64_t now_us);
/* Applies the store's answer {"version","items"} to a list (`after` is 0; it has every object) or
 * to a watch for changes after a version. An object that is no order changes nothing. A complete
 * list makes the table current. Errors: ERROR_SYNTAX, ERROR_TYPE if the answer itself is malformed;
 * nothing was applied. */
int evacuation_apply_answer(struct evacuation_table *table, uint64_t after, const json_t *root,
			    uint64_t now_us, struct error *err);
/* Records that the store was restored from a copy, which may lack orders. Until they are written
 * again, an order that a list lacks holds on. */
void evacuation_store_restored(struct evacuation_table *table, uint64_t restores);
/* Records that what the copy lacked was written again. */
void evacuation_store_settled(struct evacuation_table *table);
bool evacuation_is_ordered(const struct evacuation_table *table, const char *domain);
/* Makes the table not current, after a start or a pause of the process. The orders stay in force.
 */
void evacuation_mark_stale(struct evacuation_table *table, uint64_t now_us);
/* Records that a node whose table is current has told all orders that it knows. */
void evacuation_set_current(struct evacuation_table *table, uint64_t now_us);
/* Writes all that the table knows as malloc'ed JSON, for a peer's evacuation_apply_text(). NULL: no
 * memory. */
char *evacuation_write_text(const struct evacuation_table *table);
/* Applies what a peer wrote. Errors: ERROR_SYNTAX, ERROR_TYPE. */
int evacuation_apply_text(struct evacuation_table *table, const char *text, size_t size,
			  uint64_t now_us, struct error *err);
/* Fills `out` with what to tell another node: the orders, and the recent withdrawals. Returns their
 * number, at most EVACUATIONS_TOLD; if there are more, the next call goes on with the others. */
uint32_t evacuation_tell(struct evacuation_table *table, struct evacuation *out, uint64_t now_us);

#endif

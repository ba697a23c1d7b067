/*
 * Customers: their keys, ranks, allotments and allowed regions, as one configuration version has
 * them. No I/O. Keys are secrets: they are never logged, forwarded or shown.
 */
#ifndef FESCUEMILL_DECIDE_CUSTOMER_H
#define FESCUEMILL_DECIDE_CUSTOMER_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/region_set.h"

#include <stddef.h>

struct customer {
	const char *name;
	uint64_t id;	     /* hash of the name; identifies the customer between nodes; not 0 */
	uint32_t rank;	     /* takes precedence over the rank of a route */
	uint32_t rate_milli; /* calls per 1000 s over all nodes; 0: not limited */
	uint32_t burst;	     /* calls beyond the rate that may come at once */
	struct region_set regions;
};

/* One key. Keys are sorted by hash, so that they can be searched. */
struct customer_key {
	uint64_t hash;
	const char *text;
	uint32_t customer; /* index of the customer */
};

struct customer_table {
	uint32_t count;
	struct customer *list;
	uint32_t *by_id; /* indexes into `list`, sorted by id */
	uint32_t key_count;
	struct customer_key *keys;
};

uint64_t customer_id_of(const char *name);
/* Returns a few digits of a key's hash, by which lines of the log can be matched to a key without
 * showing it. */
uint32_t customer_key_fingerprint(const void *key, size_t size);
/* Sorts the keys and sets the ids; called once after all are filled in. A key that is listed more
 * than once belongs to the first customer that has it. Errors: ERROR_MEMORY. */
int customer_table_finish(struct customer_table *table, struct error *err);
void customer_table_free(struct customer_table *table);
/* Returns the customer that holds a key, or NULL. */
const struct customer *customer_find_by_key(const struct customer_table *table, const void *key,
					    size_t size);
const struct customer *customer_find_by_id(const struct customer_table *table, uint64_t id);

#endif

/*
 * Config batch: reading and checking of an answer with configurations, from the platform or a peer.
 */
#ifndef FESCUEMILL_FLEET_CONFIG_BATCH_H
#define FESCUEMILL_FLEET_CONFIG_BATCH_H

#include "fescuemill/decide/call_defs.h"
#include "fescuemill/settings/value.h"

/* One delivered object: a value or, when json is NULL, a deletion. */
struct delivery {
	const char *name;
	uint64_t version;
	json_t *json;
};

struct batch {
	json_t *root;
	struct value items;
	uint32_t count;
	uint64_t version;
	uint64_t from;
	uint64_t known; /* the sender does not know of all deletions up to this version */
	bool has_same;
	uint64_t same; /* there are no items since sender and asker had this content */
	bool watch;    /* the platform's answer to a watch */
};

/* Reads a batch and checks all its items, so that it applies whole or not at all; batch_free()
 * frees it. From is 0 for the answer to a list; a peer's batch states its own.
 * Errors: ERROR_SYNTAX, ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
int batch_read(struct batch *batch, bool peer, uint64_t from, const char *json, size_t size,
	       struct error *err);
void batch_free(struct batch *batch);
/* Gives an item below batch->count, which borrows from the batch. */
int batch_item(const struct batch *batch, uint32_t index, struct delivery *out, struct error *err);
bool batch_has(const struct batch *batch, const char *name);

#endif

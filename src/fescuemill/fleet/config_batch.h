/*
 * Config batch: parses and checks a batch of configuration objects from the platform or a peer.
 */
#ifndef FESCUEMILL_FLEET_CONFIG_BATCH_H
#define FESCUEMILL_FLEET_CONFIG_BATCH_H

#include "fescuemill/decide/call_defs.h"
#include "fescuemill/settings/value.h"

/* One item of a batch: an object, the changes of a routing object, or, if both are NULL, a
 * deletion. */
struct delivery {
	const char *name;
	uint64_t version;
	json_t *json;
	json_t *changes; /* see route_history_changes() */
};

struct batch {
	json_t *root;
	struct value items;
	uint32_t count;
	uint64_t version;	 /* of the sender's newest change */
	uint64_t from;		 /* the items are the changes after this version; 0: all objects */
	uint64_t pruned_version; /* the batch may lack deletions up to this version */
	bool has_same_content;
	uint64_t same_content; /* content hash that sender and asker share; no items then */
	bool is_watch;	       /* this is the platform's answer to a watch */
};

/* Parses a batch and checks the structure of all its items, so that a malformed batch is not
 * applied in part. The objects in the items are checked when they are applied. The caller frees
 * the batch with batch_free(). `from` is 0 for the platform's answer to a list; a peer's
 * batch has its own "from". Errors: ERROR_SYNTAX, ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
int batch_read(struct batch *batch, bool peer, uint64_t from, const char *json, size_t size,
	       struct error *err);
/* The same for a batch that is parsed already, of which it takes a reference. */
int batch_read_root(struct batch *batch, bool peer, uint64_t from, json_t *json, struct error *err);
void batch_free(struct batch *batch);
/* Reads the item at an index below batch->count. The result points into the batch. */
int batch_item(const struct batch *batch, uint32_t index, struct delivery *out, struct error *err);
bool batch_has_value(const struct batch *batch, const char *name);

#endif

/*
 * Writes what a peer lacks of the configuration, in answer to its pull.
 */
#include "fescuemill/fleet/config_store.h"

#include <stdlib.h>
#include <string.h>

static void append_value(json_t *items, const char *name, uint64_t version, json_t *value)
{
	json_array_append_new(items, json_pack("{s:s, s:I, s:O}", "name", name, "version",
					       (json_int_t)version, "value", value));
}

/* Appends the changes of the routes in force after a version. */
static void append_changes(json_t *items, const struct config_store *store, uint64_t after)
{
	const struct config_entry *owner = store->routing_owner;

	json_array_append_new(
		items, json_pack("{s:s, s:I, s:o}", "name", owner->name, "version",
				 (json_int_t)owner->object.config.version, "changes",
				 route_history_changes(&store->history, owner->value, after)));
}

/* Appends the deletion, the object in force and the rejected object of an entry, each if it is
 * newer than the version `after`. They are in the order of their versions. Of routes that the peer
 * has in an earlier version, only the changes are sent. */
static void append_entry(json_t *items, const struct config_store *store,
			 const struct config_entry *entry, uint64_t after, bool takes_changes)
{
	bool sends_changes = takes_changes && after > 0 && entry == store->routing_owner &&
			     entry->deleted_version <= after &&
			     route_history_covers(&store->history, after);

	if (entry->deleted_version > after)
		json_array_append_new(items,
				      json_pack("{s:s, s:I, s:b}", "name", entry->name, "version",
						(json_int_t)entry->deleted_version, "deleted", 1));
	if (sends_changes && entry->object.config.version > after)
		append_changes(items, store, after);
	else if (entry->in_force && entry->object.config.version > after)
		append_value(items, entry->name, entry->object.config.version, entry->value);
	if (entry->rejected && entry->rejected_version > after)
		append_value(items, entry->name, entry->rejected_version, entry->rejected);
}

/* Returns true if this store can apply the changes of routes that a peer sends. */
bool config_takes_changes(const struct config_store *store)
{
	return store->routing_owner && !store->routing_owner->rejected &&
	       !store->needs_whole_routes;
}

/* Writes the answer to a peer's pull. Errors: see the header. */
int config_write_batch(const struct config_store *store, const struct config_request *request,
		       char **json, size_t *size, struct error *err)
{
	bool same = request->content == config_content_hash(store);
	uint64_t after = request->after;
	json_t *items;
	json_t *root;

	if (!store->ready)
		return error_set(err, ERROR_STATE, "the configuration is not up to date");
	if (!same && (after < store->pruned_version || after >= store->complete_version))
		after = 0;
	items = json_array();
	for (uint32_t i = 0; i < store->entry_count && !same; i++)
		append_entry(items, store, store->entries[i], after, request->takes_changes);
	root = json_pack("{s:I, s:I, s:I, s:o}", "from", (json_int_t)after, "known",
			 (json_int_t)store->pruned_version, "version",
			 (json_int_t)store->complete_version, "items", items);
	if (same)
		json_object_set_new(root, "same", json_integer((json_int_t)request->content));
	*json = root ? json_dumps(root, JSON_COMPACT) : NULL;
	json_decref(root);
	if (!*json)
		return error_set(err, ERROR_MEMORY, "no memory for a configuration batch");
	*size = strlen(*json);
	return 0;
}

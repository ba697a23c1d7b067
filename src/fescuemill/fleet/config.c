/*
 * Config: for each service, the newest version in force, the newest deletion and the newest
 * rejected object that were delivered. Each of them is a maximum over all deliveries, so that the
 * order, number and source of deliveries do not matter. No I/O except logging.
 */
#include "fescuemill/fleet/config.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/fleet/config_batch.h"
#include "fescuemill/fleet/config_store.h"
#include "fescuemill/fleet/routing_json.h"
#include "fescuemill/store/version.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define KEPT_HASH_SEED UINT64_MAX /* no object has this version */

/* Opens an empty store, which is not ready. Errors: ERROR_MEMORY. */
int config_open(struct config_store **out, uint64_t first_ticket, struct error *err)
{
	*out = calloc(1, sizeof(**out));
	if (!*out)
		return error_set(err, ERROR_MEMORY, "no memory for the configuration store");
	(*out)->ticket = first_ticket;
	random_seed(&(*out)->rng, first_ticket);
	return 0;
}

static void entry_free(struct config_entry *entry)
{
	json_decref(entry->value);
	json_decref(entry->rejected);
	free(entry);
}

/* Frees a store. */
void config_close(struct config_store *store)
{
	if (!store)
		return;
	for (uint32_t i = 0; i < store->entry_count; i++)
		entry_free(store->entries[i]);
	routing_free(&store->routing);
	route_history_clear(&store->history);
	free(store);
}

static struct config_entry *find_entry(const struct config_store *store, const char *name)
{
	for (uint32_t i = 0; i < store->entry_count; i++) {
		if (strcmp(store->entries[i]->name, name) == 0)
			return store->entries[i];
	}
	return NULL;
}

/* Removes the entry with the oldest deletion to make room. Returns false if there is none. */
static bool forget_oldest_deletion(struct config_store *store)
{
	uint32_t oldest = store->entry_count;

	for (uint32_t i = 0; i < store->entry_count; i++) {
		const struct config_entry *entry = store->entries[i];

		if (entry->in_force || entry->rejected)
			continue;
		if (oldest == store->entry_count ||
		    entry->deleted_version < store->entries[oldest]->deleted_version)
			oldest = i;
	}
	if (oldest == store->entry_count)
		return false;
	if (store->entries[oldest]->deleted_version > store->pruned_version)
		store->pruned_version = store->entries[oldest]->deleted_version;
	entry_free(store->entries[oldest]);
	store->entries[oldest] = store->entries[--store->entry_count];
	return true;
}

/* Finds or adds an entry. Returns NULL if there is no room or memory, or if `version` may be older
 * than a deletion that was removed to make room. */
static struct config_entry *find_or_add_entry(struct config_store *store, const char *name,
					      uint64_t version)
{
	struct config_entry *entry = find_entry(store, name);

	if (entry)
		return entry;
	if (store->entry_count == CONFIG_SERVICES_MAX && !forget_oldest_deletion(store))
		return NULL;
	if (version <= store->pruned_version)
		return NULL;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	strncpy(entry->name, name, sizeof(entry->name) - 1);
	store->entries[store->entry_count++] = entry;
	return entry;
}

/* Frees the routes in force if they are those of an entry. */
static void drop_routing_of(struct config_store *store, const struct config_entry *entry)
{
	if (store->routing_owner != entry)
		return;
	routing_free(&store->routing);
	route_history_clear(&store->history);
	store->routing_owner = NULL;
}

static void apply_deletion(struct config_store *store, struct config_entry *entry, uint64_t version)
{
	if (version <= entry->deleted_version)
		return;
	entry->deleted_version = version;
	config_drop_rejected(entry, version);
	if (!entry->in_force || entry->object.config.version > version)
		return;
	entry->in_force = false;
	drop_routing_of(store, entry);
	json_decref(entry->value);
	entry->value = NULL;
	store->revision++;
	counter_add(COUNTER_CONFIG_APPLIED, 1);
	log_write(LOG_INFO, LOG_PART_CONFIG, "Configuration object was deleted.",
		  "service=%s version=%" PRIu64, entry->name, version);
}

/* Remembers an object that does not parse, so that it is counted once and can be sent to peers. The
 * last valid one stays in force. */
static void record_rejected(struct config_entry *entry, const struct delivery *delivery,
			    const struct error *err)
{
	if (delivery->version <= entry->rejected_version)
		return;
	entry->rejected_version = delivery->version;
	json_decref(entry->rejected);
	entry->rejected = json_incref(delivery->json);
	counter_add(COUNTER_CONFIG_REJECTED, 1);
	log_failure(LOG_WARNING, LOG_PART_CONFIG,
		    "Configuration object is invalid; the last valid one stays in force.", err);
}

static void put_in_force(struct config_store *store, struct config_entry *entry,
			 const struct delivery *delivery, const struct service_object *object)
{
	entry->object = *object;
	entry->object.config.version = delivery->version;
	json_decref(entry->value);
	entry->value = json_incref(delivery->json);
	entry->in_force = true;
	entry->is_kept = false;
	config_drop_rejected(entry, delivery->version);
	store->revision++;
	counter_add(COUNTER_CONFIG_APPLIED, 1);
	log_write(LOG_INFO, LOG_PART_CONFIG, "Configuration object is now in force.",
		  "service=%s version=%" PRIu64, entry->name, delivery->version);
}

/* Puts routes in force, unless their number, which the operators set, is lower than that of the
 * routes in force. Errors: those of routing_read(), ERROR_VERSION. */
static int put_routing_in_force(struct config_store *store, struct config_entry *entry,
				const struct delivery *delivery, struct error *err)
{
	struct service_object none = {0};
	struct routing routing;

	if (routing_read(delivery->json, &store->rng, &routing, err) != 0)
		return -1;
	if (store->routing_owner && routing.number < store->routing.number) {
		error_set(err, ERROR_VERSION,
			  "routes: number %" PRIu64 " is lower than number %" PRIu64 " in force",
			  routing.number, store->routing.number);
		routing_free(&routing);
		return -1;
	}
	for (uint32_t i = 0; i < routing.service_count; i++)
		routing.services[i].config.version = delivery->version;
	routing_free(&store->routing);
	if (store->routing_owner != entry)
		route_history_clear(&store->history);
	route_history_record(&store->history, delivery->json, delivery->version);
	store->routing = routing;
	store->routing_owner = entry;
	entry->is_routing = true;
	put_in_force(store, entry, delivery, &none);
	log_write(LOG_INFO, LOG_PART_CONFIG, "Routes are now in force.",
		  "number=%" PRIu64 " version=%" PRIu64 " routes=%u services=%u adjusted=%u",
		  routing.number, delivery->version, routing.route_count, routing.service_count,
		  routing.adjusted_count);
	return 0;
}

/* Returns true if a delivery for an entry without an object may be older than a deletion that this
 * node does not know, because a complete batch did not contain the service. */
static bool is_older_than_pruned(const struct config_store *store, const struct config_entry *entry,
				 const struct delivery *delivery)
{
	return !entry->in_force && !entry->rejected && delivery->version <= store->pruned_version;
}

/* Counts and logs an object that is ignored because a later version was delivered before. The same
 * version is delivered again by every list. */
static void record_older(const struct config_entry *entry, const struct delivery *delivery)
{
	uint64_t newest = config_entry_newest_version(entry);

	if (delivery->version >= newest)
		return;
	counter_add(COUNTER_CONFIG_OLDER, 1);
	log_write(LOG_INFO, LOG_PART_CONFIG,
		  "An older version of a configuration object was ignored.",
		  "service=%s version=%" PRIu64 " known_version=%" PRIu64, entry->name,
		  delivery->version, newest);
}

static int read_object(const struct delivery *delivery, struct service_object *out,
		       struct error *err)
{
	if (service_read(delivery->json, out, err))
		return -1;
	if (strcmp(out->config.service, delivery->name) != 0)
		return error_set(err, ERROR_RANGE, "$.service: found \"%s\", allowed \"%s\"",
				 out->config.service, delivery->name);
	return 0;
}

/* Returns true if an object is to be ignored, as a later version was delivered before. Routes with
 * a higher number are never older, whatever their versions. */
static bool is_outdated(const struct config_store *store, const struct config_entry *entry,
			const struct delivery *delivery)
{
	if (delivery->version <= entry->deleted_version ||
	    is_older_than_pruned(store, entry, delivery))
		return true;
	return delivery->version <= entry->object.config.version &&
	       !config_has_higher_number(store, entry, delivery->json);
}

/* Applies one object or deletion. Errors: ERROR_MEMORY if there is no room for another service;
 * those of service_read() and put_routing_in_force() if the object is invalid. */
static int apply_delivery(struct config_store *store, const struct delivery *delivery,
			  struct error *err)
{
	struct config_entry *entry = find_or_add_entry(store, delivery->name, delivery->version);
	struct delivery newer = *delivery;
	struct service_object object;
	struct error fault;

	if (!entry && delivery->version <= store->pruned_version)
		return 0;
	if (!entry)
		return error_set(err, ERROR_MEMORY, "no room for service %s", delivery->name);
	if (!delivery->json) {
		apply_deletion(store, entry, delivery->version);
		return 0;
	}
	if (is_outdated(store, entry, delivery)) {
		record_older(entry, delivery);
		return 0;
	}
	if (config_keep_later_state(store, entry, delivery))
		return 0;
	/* The version never goes down, also where the higher number came with a lower version. */
	if (newer.version < entry->object.config.version)
		newer.version = entry->object.config.version;
	if (routing_is_object(newer.json)) {
		if (put_routing_in_force(store, entry, &newer, &fault) == 0)
			return 0;
	} else if (read_object(&newer, &object, &fault) == 0) {
		drop_routing_of(store, entry);
		entry->is_routing = false;
		put_in_force(store, entry, &newer, &object);
		return 0;
	}
	record_rejected(entry, &newer, &fault);
	if (err)
		*err = fault;
	return -1;
}

/* Applies a peer's changes to the routes in force. Changes that are not newer are ignored. Errors:
 * ERROR_STATE if the routes that they are for are not in force, and those of route_history_apply();
 * the whole object is to be requested then. */
static int apply_changes(struct config_store *store, const struct delivery *delivery,
			 struct error *err)
{
	const struct config_entry *entry = find_entry(store, delivery->name);
	struct delivery whole = *delivery;

	if (entry && (delivery->version <= entry->object.config.version ||
		      delivery->version <= entry->deleted_version))
		return 0;
	if (!entry || store->routing_owner != entry || entry->rejected)
		return error_set(err, ERROR_STATE, "changes of %s: its routes are not in force",
				 delivery->name);
	whole.changes = NULL;
	whole.json = route_history_apply(&store->history, delivery->changes, err);
	if (!whole.json)
		return -1;
	if (apply_delivery(store, &whole, err) != 0 && err->kind != ERROR_MEMORY)
		error_clear(err);
	json_decref(whole.json);
	return err->kind == ERROR_NONE ? 0 : -1;
}

/* Applies all items of a batch. Returns false if a peer's changes could not be applied, so that
 * the batch did not bring this node up to date. */
static bool apply_items(struct config_store *store, const struct batch *batch)
{
	bool is_whole = true;

	for (uint32_t i = 0; i < batch->count; i++) {
		struct delivery delivery;
		struct error err = {0};

		batch_item(batch, i, &delivery, NULL);
		if (delivery.changes && apply_changes(store, &delivery, &err) != 0) {
			is_whole = false;
			log_failure(LOG_INFO, LOG_PART_CONFIG,
				    "Changes from a peer do not fit; requesting the whole object.",
				    &err);
		} else if (!delivery.changes && apply_delivery(store, &delivery, &err) != 0 &&
			   err.kind == ERROR_MEMORY) {
			log_failure(LOG_ERROR, LOG_PART_CONFIG,
				    "Configuration object was not applied.", &err);
		}
	}
	store->needs_whole_routes = !is_whole;
	return is_whole;
}

/* Deletes the objects up to the version of a complete batch that are not in the batch. */
static void delete_absent(struct config_store *store, const struct batch *batch)
{
	for (uint32_t i = 0; i < store->entry_count; i++) {
		struct config_entry *entry = store->entries[i];

		if ((entry->in_force || entry->rejected) && !config_may_be_lost(store, entry) &&
		    (!entry->in_force || entry->object.config.version <= batch->version) &&
		    (!entry->rejected || entry->rejected_version <= batch->version) &&
		    !batch_has_value(batch, entry->name))
			apply_deletion(store, entry, batch->version);
	}
}

/* Raises the versions up to which this node has all changes. A watch that advanced without a change
 * does not raise complete_version: gossip would spread it and every node would pull. */
static void advance_versions(struct config_store *store, uint64_t through, bool watch)
{
	if (through > store->applied_through)
		store->applied_through = through;
	if (!watch && through > store->complete_version)
		store->complete_version = through;
	for (uint32_t i = 0; i < store->entry_count; i++) {
		uint64_t newest = config_entry_newest_version(store->entries[i]);

		if (newest <= store->applied_through && newest > store->complete_version)
			store->complete_version = newest;
	}
	counter_set(COUNTER_CONFIG_VERSION, store->complete_version);
}

static void set_ready(struct config_store *store)
{
	if (!store->ready)
		log_write(LOG_INFO, LOG_PART_CONFIG, "Configuration is up to date.",
			  "version=%" PRIu64, store->complete_version);
	store->ready = true;
	counter_set(COUNTER_CONFIG_READY, 1);
}

static uint64_t hash_name_and_version(const char *name, uint64_t version)
{
	return XXH3_64bits_withSeed(name, strlen(name), version);
}

/* Returns a hash of all versions in force and all rejected ones. Deletions are not included. */
uint64_t config_content_hash(const struct config_store *store)
{
	uint64_t content = 0;

	for (uint32_t i = 0; i < store->entry_count; i++) {
		const struct config_entry *entry = store->entries[i];

		if (entry->in_force)
			content ^= hash_name_and_version(entry->name, entry->object.config.version);
		if (entry->is_kept)
			content ^= hash_name_and_version(entry->name, KEPT_HASH_SEED);
		if (entry->rejected)
			content ^= hash_name_and_version(entry->name, ~entry->rejected_version);
	}
	return content & INT64_MAX; /* must fit into a JSON integer */
}

/* Applies all items of a batch. Returns true if the batch continues from a version up to which this
 * node has all changes and, if it has no items because the contents were equal, if they still are.
 * Otherwise changes may be missing in between, and the versions of the store stay. */
static bool batch_apply(struct config_store *store, struct batch *batch)
{
	uint64_t restores = store_version_restores(batch->version);
	bool is_contiguous =
		batch->from <= store->applied_through &&
		(!batch->has_same_content || batch->same_content == config_content_hash(store));

	if (store->applied_through && restores > store_version_restores(store->applied_through))
		config_store_restored(store, restores);
	is_contiguous = apply_items(store, batch) && is_contiguous;
	if (batch->from == 0)
		delete_absent(store, batch);
	if (is_contiguous && batch->pruned_version > batch->from &&
	    batch->pruned_version > store->pruned_version)
		store->pruned_version = batch->pruned_version;
	if (is_contiguous)
		advance_versions(store, batch->version, batch->is_watch);
	batch_free(batch);
	return is_contiguous;
}

/* Applies the platform's answer to a list (`from` is 0) or a watch. Errors: see the header. */
int config_apply_batch(struct config_store *store, uint64_t from, const char *json, size_t size,
		       struct error *err)
{
	json_error_t fault;
	json_t *root = json_loadb(json, size, JSON_REJECT_DUPLICATES, &fault);
	int result;

	if (!root)
		/* The parser's text would quote what it found, which may be a customer's key. */
		return error_set(err, ERROR_SYNTAX, "batch: line %d, column %d: not JSON",
				 fault.line, fault.column);
	result = config_apply_answer(store, from, root, err);
	json_decref(root);
	return result;
}

/* Applies the platform's parsed answer to a list or a watch. Errors: see the header. */
int config_apply_answer(struct config_store *store, uint64_t from, json_t *root, struct error *err)
{
	struct batch batch;

	if (!root)
		return error_set(err, ERROR_SYNTAX, "batch: not JSON");
	if (batch_read_root(&batch, false, from, root, err))
		return -1;
	if (!batch_apply(store, &batch))
		return 0;
	/* The platform is authoritative: drops a version that a peer announced but that the
	 * platform does not have. */
	store->peer_version = store->complete_version;
	set_ready(store);
	return 0;
}

/* Applies a peer's answer to a pull. Errors: see the header. */
int config_apply_peer_batch(struct config_store *store, uint64_t ticket, const char *json,
			    size_t size, struct error *err)
{
	struct batch batch;

	if (batch_read(&batch, true, 0, json, size, err))
		return -1;
	if (!batch_apply(store, &batch))
		return 0;
	if (ticket == store->ticket && !config_is_behind(store))
		set_ready(store);
	return 0;
}

/* Applies one accepted object. Errors: ERROR_RANGE, ERROR_SYNTAX and others if the name or the
 * object is invalid, ERROR_MEMORY. */
int config_apply_object(struct config_store *store, const char *service, uint64_t version,
			const char *json, size_t size, struct error *err)
{
	json_error_t fault;
	struct delivery delivery = {.name = service, .version = version};
	int status;

	if (strlen(service) >= SERVICE_NAME_BYTES)
		return error_set(err, ERROR_RANGE, "service name of %zu bytes, allowed 1 to %d",
				 strlen(service), SERVICE_NAME_BYTES - 1);
	delivery.json = json_loadb(json, size, JSON_REJECT_DUPLICATES, &fault);
	if (!delivery.json)
		return error_set(err, ERROR_SYNTAX, "line %d: %s", fault.line, fault.text);
	status = apply_delivery(store, &delivery, err);
	json_decref(delivery.json);
	return status;
}

/* Applies one accepted deletion. */
void config_apply_deletion(struct config_store *store, const char *service, uint64_t version)
{
	struct delivery delivery = {.name = service, .version = version};

	if (strlen(service) < SERVICE_NAME_BYTES)
		apply_delivery(store, &delivery, NULL);
}

/* Returns the whole service object in force, or NULL. */
const struct service_object *config_object(const struct config_store *store, const char *service)
{
	const struct config_entry *entry = find_entry(store, service);

	return entry && entry->in_force && !entry->is_routing ? &entry->object : NULL;
}

/* Returns the configuration in force of a service, or of a service of a route, or NULL. */
const struct service_config *config_find(const struct config_store *store, const char *service)
{
	const struct service_object *object = config_object(store, service);
	const struct route_service *routed;

	if (object)
		return &object->config;
	routed = routing_find_service(&store->routing, service);
	return routed ? &routed->config : NULL;
}

/* Returns the routes in force, or NULL. */
struct routing *config_routing(struct config_store *store)
{
	return store->routing_owner ? &store->routing : NULL;
}

/* Finds a class of a configuration by its name. Returns NULL if there is none. */
const struct class_target *config_find_class(const struct service_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->class_count; i++) {
		if (strcmp(config->classes[i].name, name) == 0)
			return &config->classes[i];
	}
	return NULL;
}

/* Returns the number of service objects in force. */
size_t config_count(const struct config_store *store)
{
	size_t count = 0;

	for (uint32_t i = 0; i < store->entry_count; i++)
		count += store->entries[i]->in_force && !store->entries[i]->is_routing;
	return count;
}

/* Returns the service object in force at an index below config_count(), or NULL. */
const struct service_object *config_at(const struct config_store *store, size_t index)
{
	for (uint32_t i = 0; i < store->entry_count; i++) {
		if (store->entries[i]->in_force && !store->entries[i]->is_routing && index-- == 0)
			return &store->entries[i]->object;
	}
	return NULL;
}

/* Returns a number that grows with every change of what is in force. */
uint64_t config_revision(const struct config_store *store)
{
	return store->revision;
}

/* Returns the version up to which this node has all changes; gossip announces it. */
uint64_t config_version(const struct config_store *store)
{
	return store->complete_version;
}

/* Returns the version of the store up to which this node has all changes of the configuration. */
uint64_t config_applied_through(const struct config_store *store)
{
	return store->applied_through;
}

/* Returns the newest version that is known to exist. */
uint64_t config_newest_version(const struct config_store *store)
{
	return store->peer_version > store->complete_version ? store->peer_version
							     : store->complete_version;
}

/* Records the version that a peer announced. */
void config_record_peer_version(struct config_store *store, uint64_t version)
{
	if (version > store->peer_version)
		store->peer_version = version;
}

/* Returns true if a peer has announced a newer version. */
bool config_is_behind(const struct config_store *store)
{
	return store->peer_version > store->complete_version;
}

/* Returns true if the store has caught up with the accepted configuration since it was opened or
 * last marked stale. */
bool config_is_ready(const struct config_store *store)
{
	return store->ready;
}

/* Makes the store not ready until a complete answer to a later request arrives. The new ticket
 * rejects answers of peers to earlier pulls. */
void config_mark_stale(struct config_store *store)
{
	store->ready = false;
	store->ticket++;
	counter_set(COUNTER_CONFIG_READY, 0);
}

/* Returns the ticket of a pull. Only an answer with the same ticket can make the store ready, so
 * that an answer to a pull before a pause or a restart does not. */
uint64_t config_ticket(const struct config_store *store)
{
	return store->ticket;
}

/* Returns true if this node watches the platform. */
bool config_is_watcher(const struct member_table *members, const struct member *self,
		       uint32_t watchers)
{
	return member_is_chosen(members, self, CONFIG_KIND, watchers);
}

/*
 * Config restore: what stays in force when the platform's store was restored from a copy, which has
 * earlier states of some objects and lacks others.
 */
#include "fescuemill/fleet/config_store.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/fleet/routing_json.h"
#include "fescuemill/store/version.h"

#include <inttypes.h>
#include <string.h>

/* Returns the newest version delivered for an entry: in force, deleted or rejected. */
uint64_t config_entry_newest_version(const struct config_entry *entry)
{
	uint64_t newest = entry->object.config.version;

	if (entry->deleted_version > newest)
		newest = entry->deleted_version;
	return entry->rejected_version > newest ? entry->rejected_version : newest;
}

/* Frees a rejected object that is older than a new version in force or deletion. */
void config_drop_rejected(struct config_entry *entry, uint64_t version)
{
	if (entry->rejected && entry->rejected_version < version) {
		json_decref(entry->rejected);
		entry->rejected = NULL;
	}
}

/* Returns true if an object is a routing object with a higher number, which the operators set, than
 * the routes in force. */
bool config_has_higher_number(const struct config_store *store, const struct config_entry *entry,
			      const json_t *json)
{
	const json_t *number = json_object_get(json, "number");

	return store->routing_owner == entry && routing_is_object(json) &&
	       json_is_integer(number) &&
	       json_integer_value(number) > (json_int_t)store->routing.number;
}

/* Returns true if an object is an earlier state of the one in force: routes with a lower number, or
 * a service whose latest change is followed by others in the history of the one in force. */
static bool is_earlier_state(const struct config_store *store, const struct config_entry *entry,
			     const json_t *json)
{
	const json_t *number = json_object_get(json, "number");
	struct service_object object;
	uint32_t count = entry->object.change_count;

	if (store->routing_owner == entry)
		return json_is_integer(number) &&
		       json_integer_value(number) < (json_int_t)store->routing.number;
	if (count == 0 || service_read((json_t *)json, &object, NULL) != 0 ||
	    object.change_count == 0)
		return false;
	return service_has_change(&entry->object, object.changes[object.change_count - 1].id) &&
	       strcmp(entry->object.changes[count - 1].id,
		      object.changes[object.change_count - 1].id) != 0;
}

/* Keeps the object in force in place of the earlier state that a restored store has. Returns false
 * if the delivery is no such state. */
bool config_keep_later_state(struct config_store *store, struct config_entry *entry,
			     const struct delivery *delivery)
{
	uint64_t version = entry->object.config.version;

	if (!entry->in_force ||
	    store_version_restores(delivery->version) <= store_version_restores(version) ||
	    !is_earlier_state(store, entry, delivery->json))
		return false;
	entry->object.config.version = delivery->version;
	entry->is_kept = true;
	config_drop_rejected(entry, delivery->version);
	counter_add(COUNTER_CONFIG_KEPT, 1);
	log_write(LOG_WARNING, LOG_PART_CONFIG,
		  "The restored store has an earlier state of a configuration object; the later "
		  "one stays in force.",
		  "service=%s version=%" PRIu64 " kept_version=%" PRIu64, entry->name,
		  delivery->version, version);
	return true;
}

/* Returns true if an object may be missing in a list only because the store's copy lacks it. */
bool config_may_be_lost(const struct config_store *store, const struct config_entry *entry)
{
	return store_version_restores(config_entry_newest_version(entry)) <
	       store->unsettled_restores;
}

/* Records a restore of the platform's store. */
void config_store_restored(struct config_store *store, uint64_t restores)
{
	store->unsettled_restores = restores;
}

/* Records that the platform's store is complete again. */
void config_store_settled(struct config_store *store)
{
	store->unsettled_restores = 0;
}

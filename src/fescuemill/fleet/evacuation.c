/*
 * Table of evacuations. An order and its withdrawal are told to other nodes in gossip packets; a
 * withdrawal only for a while, and again when a node is heard that still has the order.
 */
#include "fescuemill/fleet/evacuation.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/store/version.h"

#include <inttypes.h>
#include <string.h>

#define LOG_NAME_BYTES_MAX 40
#define REJECTED_LOGGED	   16 /* objects that are no orders, of which each is logged */

bool evacuation_is_name(const char *name)
{
	size_t size = name ? strlen(name) : 0;

	if (size == 0 || size >= DOMAIN_NAME_BYTES)
		return false;
	for (size_t i = 0; i < size; i++) {
		if (name[i] <= ' ' || name[i] > '~')
			return false;
	}
	return true;
}

static struct evacuation_entry *find(struct evacuation_table *table, const char *domain)
{
	for (uint32_t i = 0; i < table->count; i++) {
		if (strcmp(table->list[i].known.domain, domain) == 0)
			return &table->list[i];
	}
	return NULL;
}

/* Returns the withdrawal with the lowest revision that is no longer told, or NULL. */
static struct evacuation_entry *find_oldest_withdrawal(struct evacuation_table *table,
						       uint64_t now_us)
{
	struct evacuation_entry *oldest = NULL;

	for (uint32_t i = 0; i < table->count; i++) {
		struct evacuation_entry *entry = &table->list[i];

		if (entry->known.is_ordered || now_us < entry->told_until_us)
			continue;
		if (!oldest || entry->known.version < oldest->known.version)
			oldest = entry;
	}
	return oldest;
}

/* Returns an unused entry, or one whose withdrawal is forgotten for it, or NULL. */
static struct evacuation_entry *add(struct evacuation_table *table, uint64_t now_us)
{
	struct evacuation_entry *entry;

	if (table->count < EVACUATIONS_MAX)
		entry = &table->list[table->count++];
	else
		entry = find_oldest_withdrawal(table, now_us);
	if (entry)
		memset(entry, 0, sizeof(*entry));
	return entry;
}

/* Logs and counts an object that is no order. */
static enum evacuation_change reject(struct evacuation_table *table, const char *domain,
				     const char *why)
{
	counter_add(COUNTER_EVACUATIONS_REJECTED, 1);
	if (table->rejected++ < REJECTED_LOGGED)
		log_write(LOG_WARNING, LOG_PART_CONFIG,
			  "An object is no order to evacuate a failure domain and is ignored.",
			  "name=%.*s why=%s", LOG_NAME_BYTES_MAX, domain ? domain : "", why);
	return EVACUATION_REFUSED;
}

/* Puts what was heard in force. */
static void set(struct evacuation_table *table, struct evacuation_entry *entry,
		const struct evacuation *heard, const char *source, uint64_t now_us)
{
	uint64_t earlier = entry->known.version;
	bool is_change = entry->known.is_ordered != heard->is_ordered;

	entry->known = *heard;
	entry->told_until_us = heard->is_ordered ? 0 : now_us + EVACUATION_WITHDRAWAL_TOLD_US;
	if (!is_change)
		return;
	table->revision++;
	table->ordered_count += heard->is_ordered ? 1 : -1;
	counter_set(COUNTER_EVACUATIONS, table->ordered_count);
	log_write(LOG_WARNING, LOG_PART_CONFIG,
		  heard->is_ordered ? "The evacuation of a failure domain was ordered."
				    : "The evacuation of a failure domain was withdrawn.",
		  "domain=%s version=%" PRIu64 " earlier_version=%" PRIu64 " source=%s in_force=%u",
		  heard->domain, heard->version, earlier, source, table->ordered_count);
}

enum evacuation_change evacuation_apply(struct evacuation_table *table,
					const struct evacuation *heard, const char *source,
					uint64_t now_us)
{
	struct evacuation_entry *entry;
	bool was_ordered;

	if (!evacuation_is_name(heard->domain))
		return reject(table, heard->domain, "its name is not valid");
	entry = find(table, heard->domain);
	if (!entry)
		entry = add(table, now_us);
	if (!entry)
		return reject(table, heard->domain, "too many orders");
	was_ordered = entry->known.is_ordered;
	if (heard->version < entry->known.version) {
		if (!was_ordered && heard->is_ordered)
			entry->told_until_us = now_us + EVACUATION_WITHDRAWAL_TOLD_US;
		return EVACUATION_OLDER;
	}
	if (heard->version == entry->known.version)
		return EVACUATION_UNCHANGED;
	set(table, entry, heard, source, now_us);
	return was_ordered == heard->is_ordered ? EVACUATION_UNCHANGED : EVACUATION_CHANGED;
}

/* Reads one item of an answer. Returns false if it is neither an order nor a deletion. */
static bool read_item(struct evacuation_table *table, const json_t *item, struct evacuation *out)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const json_t *value = json_object_get(item, "value");
	const json_t *version = json_object_get(item, "version");
	bool is_deleted = json_is_true(json_object_get(item, "deleted"));

	memset(out, 0, sizeof(*out));
	if (!evacuation_is_name(name)) {
		reject(table, name, "its name is not valid");
		return false;
	}
	memcpy(out->domain, name, strlen(name));
	out->version = (uint64_t)json_integer_value(version);
	out->is_ordered = !is_deleted;
	if (json_integer_value(version) <= 0) {
		reject(table, name, "it has no revision");
		return false;
	}
	if (!is_deleted && (!json_is_object(value) || json_object_size(value) != 0)) {
		reject(table, name, "its value is not {}");
		return false;
	}
	return true;
}

/* Returns true if a list has an object with this name, whether it is an order or not. */
static bool list_has(const json_t *items, const char *name)
{
	size_t index;
	json_t *item;

	json_array_foreach(items, index, item)
	{
		const char *found = json_string_value(json_object_get(item, "name"));

		if (found && strcmp(found, name) == 0)
			return true;
	}
	return false;
}

/* Returns true if an order may be missing in the store only because its copy lacks it. */
static bool may_be_lost(const struct evacuation_table *table, const struct evacuation *order)
{
	return store_version_restores(order->version) < table->unsettled_restores;
}

/* Withdraws the orders that a complete list, as of a version, does not hold. An order with a higher
 * version was made after the list. */
static void withdraw_missing(struct evacuation_table *table, const json_t *items, uint64_t version,
			     uint64_t now_us)
{
	for (uint32_t i = 0; i < table->count; i++) {
		struct evacuation known = table->list[i].known;

		if (!known.is_ordered || known.version >= version || may_be_lost(table, &known) ||
		    list_has(items, known.domain))
			continue;
		known.is_ordered = false;
		known.version = version;
		evacuation_apply(table, &known, "store", now_us);
	}
}

/* Applies an order that a complete list holds. If a withdrawal with a version between that of the
 * order and that of the list was recorded, a watch had missed the order: it holds as of the list.
 */
static void apply_listed(struct evacuation_table *table, struct evacuation *order, uint64_t version,
			 uint64_t now_us)
{
	const struct evacuation_entry *entry = find(table, order->domain);

	if (entry && !entry->known.is_ordered && entry->known.version >= order->version &&
	    entry->known.version < version)
		order->version = version;
	evacuation_apply(table, order, "store", now_us);
}

int evacuation_apply_answer(struct evacuation_table *table, uint64_t after, const json_t *root,
			    uint64_t now_us, struct error *err)
{
	const json_t *items = json_object_get(root, "items");
	uint64_t version = (uint64_t)json_integer_value(json_object_get(root, "version"));
	size_t index;
	json_t *item;

	if (!root)
		return error_set(err, ERROR_SYNTAX, "evacuations: not JSON");
	if (!json_is_array(items) || !json_is_integer(json_object_get(root, "version")))
		return error_set(err, ERROR_TYPE, "evacuations: no version or no items");
	if (table->applied_through &&
	    store_version_restores(version) > store_version_restores(table->applied_through))
		evacuation_store_restored(table, store_version_restores(version));
	table->applied_through = version;
	json_array_foreach(items, index, item)
	{
		struct evacuation heard;

		if (!read_item(table, item, &heard))
			continue;
		if (after == 0 && heard.is_ordered)
			apply_listed(table, &heard, version, now_us);
		else
			evacuation_apply(table, &heard, "store", now_us);
	}
	if (after > 0)
		return 0;
	withdraw_missing(table, items, version, now_us);
	evacuation_set_current(table, now_us);
	return 0;
}

void evacuation_store_restored(struct evacuation_table *table, uint64_t restores)
{
	table->unsettled_restores = restores;
}

void evacuation_store_settled(struct evacuation_table *table)
{
	table->unsettled_restores = 0;
}

char *evacuation_write_text(const struct evacuation_table *table)
{
	json_t *list = json_array();
	char *text;

	for (uint32_t i = 0; i < table->count; i++) {
		const struct evacuation *known = &table->list[i].known;

		json_array_append_new(list, json_pack("{s:s, s:I, s:b}", "domain", known->domain,
						      "version", (json_int_t)known->version,
						      "ordered", known->is_ordered));
	}
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}

int evacuation_apply_text(struct evacuation_table *table, const char *text, size_t size,
			  uint64_t now_us, struct error *err)
{
	json_t *list = json_loadb(text, size, 0, NULL);
	size_t index;
	json_t *item;

	if (!list)
		return error_set(err, ERROR_SYNTAX, "evacuations: not JSON");
	if (!json_is_array(list)) {
		json_decref(list);
		return error_set(err, ERROR_TYPE, "evacuations: not a list");
	}
	json_array_foreach(list, index, item)
	{
		const char *name = json_string_value(json_object_get(item, "domain"));
		struct evacuation heard = {0};

		if (!evacuation_is_name(name)) {
			reject(table, name, "its name is not valid");
			continue;
		}
		memcpy(heard.domain, name, strlen(name));
		heard.version = (uint64_t)json_integer_value(json_object_get(item, "version"));
		heard.is_ordered = json_is_true(json_object_get(item, "ordered"));
		evacuation_apply(table, &heard, "peer", now_us);
	}
	json_decref(list);
	return 0;
}

bool evacuation_is_ordered(const struct evacuation_table *table, const char *domain)
{
	if (table->ordered_count == 0)
		return false;
	for (uint32_t i = 0; i < table->count; i++) {
		const struct evacuation *known = &table->list[i].known;

		if (known->is_ordered && strcmp(known->domain, domain) == 0)
			return true;
	}
	return false;
}

void evacuation_mark_stale(struct evacuation_table *table, uint64_t now_us)
{
	table->is_current = false;
	table->stale_since_us = now_us;
}

void evacuation_set_current(struct evacuation_table *table, uint64_t now_us)
{
	if (table->is_current)
		return;
	table->is_current = true;
	log_write(LOG_INFO, LOG_PART_CONFIG, "The evacuations in force are known.",
		  "in_force=%u after_us=%" PRIu64, table->ordered_count,
		  now_us - table->stale_since_us);
}

uint32_t evacuation_tell(struct evacuation_table *table, struct evacuation *out, uint64_t now_us)
{
	uint32_t count = 0;
	uint32_t seen = 0;

	for (; seen < table->count && count < EVACUATIONS_TOLD; seen++) {
		const struct evacuation_entry *entry =
			&table->list[(table->next_told + seen) % table->count];

		if (entry->known.is_ordered || now_us < entry->told_until_us)
			out[count++] = entry->known;
	}
	/* Start with the first that did not fit. */
	if (seen < table->count)
		table->next_told = (table->next_told + seen) % table->count;
	return count;
}

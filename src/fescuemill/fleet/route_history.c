/*
 * Route history: the routes in force and the removed ones, each with the version of its change.
 */
#include "fescuemill/fleet/route_history.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Returns a hash of a route's host and prefix, which identify it. */
static uint64_t route_key(const json_t *route)
{
	const char *host = json_string_value(json_object_get(route, "host"));
	const char *prefix = json_string_value(json_object_get(route, "prefix"));
	uint64_t seed = host ? XXH3_64bits(host, strlen(host)) : 0;

	return prefix ? XXH3_64bits_withSeed(prefix, strlen(prefix), seed) : seed;
}

static uint64_t hash_number(uint64_t number, uint64_t seed)
{
	return XXH3_64bits_withSeed(&number, sizeof(number), seed);
}

/* Returns a hash of a JSON value that does not depend on the order of the members of objects. A
 * routing object is compared with the one in force at every change, so it is not written as text.
 */
static uint64_t content_hash(const json_t *value, uint64_t seed)
{
	uint64_t hash = hash_number((uint64_t)json_typeof(value), seed);
	const char *key;
	const json_t *item;
	size_t index;

	switch (json_typeof(value)) {
	case JSON_OBJECT:
		json_object_foreach((json_t *)value, key, item)
		{
			hash += content_hash(item, XXH3_64bits(key, strlen(key)));
		}
		return hash_number(hash, seed);
	case JSON_ARRAY:
		json_array_foreach(value, index, item)
		{
			hash = content_hash(item, hash);
		}
		return hash;
	case JSON_STRING:
		return XXH3_64bits_withSeed(json_string_value(value), json_string_length(value),
					    hash);
	case JSON_INTEGER:
		return hash_number((uint64_t)json_integer_value(value), hash);
	case JSON_REAL: {
		double real = json_real_value(value);

		return XXH3_64bits_withSeed(&real, sizeof(real), hash);
	}
	default:
		return hash;
	}
}

static int compare_marks(const void *left, const void *right)
{
	const struct route_mark *a = left;
	const struct route_mark *b = right;

	return (a->key > b->key) - (a->key < b->key);
}

/* Returns the marks of a list of routes, ordered by key, and their number. NULL: no memory. */
static struct route_mark *marks_of(const json_t *routes, uint32_t *count)
{
	struct route_mark *marks = calloc(json_array_size(routes) + 1, sizeof(*marks));
	json_t *route;
	size_t index;

	*count = 0;
	if (!marks)
		return NULL;
	json_array_foreach(routes, index, route)
	{
		marks[*count].key = route_key(route);
		marks[*count].content = content_hash(route, 0);
		marks[(*count)++].route = json_incref(route);
	}
	if (*count > 1)
		qsort(marks, *count, sizeof(*marks), compare_marks);
	return marks;
}

static void marks_free(struct route_mark *marks, uint32_t count)
{
	for (uint32_t i = 0; marks && i < count; i++)
		json_decref(marks[i].route);
	free(marks);
}

/* Returns a digest of the contents of routes that fits into a JSON integer. */
static uint64_t marks_digest(const struct route_mark *marks, uint32_t count)
{
	uint64_t digest = 0;

	for (uint32_t i = 0; i < count; i++)
		digest ^= marks[i].content;
	return digest & INT64_MAX;
}

/* Forgets a history. */
void route_history_clear(struct route_history *history)
{
	marks_free(history->marks, history->count);
	for (uint32_t i = 0; i < history->removed_count; i++)
		json_decref(history->removed[i].route);
	memset(history, 0, sizeof(*history));
}

/* Forgets the oldest removal; removals up to its version are no longer known. */
static void forget_oldest_removal(struct route_history *history)
{
	uint32_t oldest = 0;

	for (uint32_t i = 1; i < history->removed_count; i++) {
		if (history->removed[i].version < history->removed[oldest].version)
			oldest = i;
	}
	if (history->removed[oldest].version > history->since)
		history->since = history->removed[oldest].version;
	json_decref(history->removed[oldest].route);
	history->removed[oldest] = history->removed[--history->removed_count];
}

static void add_removal(struct route_history *history, const struct route_mark *mark,
			uint64_t version)
{
	struct route_mark *removal;

	if (history->removed_count == ROUTES_REMOVED_MAX)
		forget_oldest_removal(history);
	removal = &history->removed[history->removed_count++];
	*removal = *mark;
	removal->version = version;
	json_incref(removal->route);
}

/* Forgets the removal of a route that exists again. */
static void drop_removal(struct route_history *history, uint64_t key)
{
	for (uint32_t i = 0; i < history->removed_count; i++) {
		if (history->removed[i].key != key)
			continue;
		json_decref(history->removed[i].route);
		history->removed[i] = history->removed[--history->removed_count];
		return;
	}
}

/* Compares the new routes with those in force. */
static void compare_with_old(struct route_history *history, struct route_mark *marks,
			     uint32_t count, uint64_t version)
{
	uint32_t old_count = history->marks ? history->count : 0;
	uint32_t at = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct route_mark *old = NULL;

		for (; at < old_count && history->marks[at].key < marks[i].key; at++)
			add_removal(history, &history->marks[at], version);
		if (at < old_count && history->marks[at].key == marks[i].key)
			old = &history->marks[at++];
		else if (history->removed_count > 0)
			drop_removal(history, marks[i].key);
		marks[i].version = old && old->content == marks[i].content ? old->version : version;
	}
	for (; at < old_count; at++)
		add_removal(history, &history->marks[at], version);
}

/* Records the routing object that is put in force with a version. */
void route_history_record(struct route_history *history, const json_t *object, uint64_t version)
{
	uint32_t count;
	struct route_mark *marks = marks_of(json_object_get(object, "routes"), &count);

	if (!marks) {
		route_history_clear(history);
		return;
	}
	if (!history->marks)
		history->since = version;
	compare_with_old(history, marks, count, version);
	marks_free(history->marks, history->count);
	history->marks = marks;
	history->count = count;
	history->digest = marks_digest(marks, count);
}

/* Returns true if all changes after a version are known. */
bool route_history_covers(const struct route_history *history, uint64_t after)
{
	return history->marks && after >= history->since;
}

/* Returns the host and the prefix of a route. */
static json_t *route_identity(json_t *route)
{
	return json_pack("{s:O, s:O}", "host", json_object_get(route, "host"), "prefix",
			 json_object_get(route, "prefix"));
}

/* Returns the changes after a version that is covered. */
json_t *route_history_changes(const struct route_history *history, const json_t *object,
			      uint64_t after)
{
	json_t *changes = json_copy((json_t *)object);
	json_t *routes = json_array();
	json_t *removed = json_array();

	for (uint32_t i = 0; i < history->count; i++) {
		if (history->marks[i].version > after)
			json_array_append(routes, history->marks[i].route);
	}
	for (uint32_t i = 0; i < history->removed_count; i++) {
		if (history->removed[i].version > after)
			json_array_append_new(removed, route_identity(history->removed[i].route));
	}
	json_object_set_new(changes, "routes", routes);
	json_object_set_new(changes, "removed", removed);
	json_object_set_new(changes, "digest", json_integer((json_int_t)history->digest));
	return changes;
}

static const struct route_mark *find_mark(const struct route_mark *marks, uint32_t count,
					  uint64_t key)
{
	struct route_mark wanted = {.key = key};

	return count ? bsearch(&wanted, marks, count, sizeof(*marks), compare_marks) : NULL;
}

/* Returns the routes in force with the changed ones replaced or added, and the removed ones left
 * out, and adds the digest of the result. NULL: no memory. */
static json_t *merge_routes(const struct route_history *history, const json_t *changes,
			    uint64_t *digest)
{
	json_t *routes = json_array();
	struct route_mark *removed;
	struct route_mark *changed;
	uint32_t removed_count;
	uint32_t changed_count;

	removed = marks_of(json_object_get(changes, "removed"), &removed_count);
	changed = marks_of(json_object_get(changes, "routes"), &changed_count);
	*digest = 0;
	for (uint32_t i = 0; removed && changed && i < history->count; i++) {
		const struct route_mark *mark = &history->marks[i];

		if (find_mark(removed, removed_count, mark->key) ||
		    find_mark(changed, changed_count, mark->key))
			continue;
		json_array_append(routes, mark->route);
		*digest ^= mark->content;
	}
	for (uint32_t i = 0; removed && changed && i < changed_count; i++) {
		json_array_append(routes, changed[i].route);
		*digest ^= changed[i].content;
	}
	if (!removed || !changed) {
		json_decref(routes);
		routes = NULL;
	}
	*digest &= INT64_MAX;
	marks_free(removed, removed_count);
	marks_free(changed, changed_count);
	return routes;
}

/* Returns the routing object that results from a peer's changes. */
json_t *route_history_apply(const struct route_history *history, const json_t *changes,
			    struct error *err)
{
	const json_t *stated = json_object_get(changes, "digest");
	json_t *object;
	json_t *routes;
	uint64_t digest;

	if (!history->marks || !json_is_integer(stated)) {
		error_set(err, ERROR_TYPE, "routes: no routes to change, or no digest");
		return NULL;
	}
	routes = merge_routes(history, changes, &digest);
	if (!routes) {
		error_set(err, ERROR_MEMORY, "no memory for routes");
		return NULL;
	}
	if (digest != (uint64_t)json_integer_value(stated)) {
		json_decref(routes);
		error_set(err, ERROR_VERSION, "routes: not those of the peer after its changes");
		return NULL;
	}
	object = json_copy((json_t *)changes);
	json_object_set_new(object, "routes", routes);
	json_object_del(object, "removed");
	json_object_del(object, "digest");
	return object;
}

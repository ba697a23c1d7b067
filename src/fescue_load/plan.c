/*
 * Plan: parses JSON with jansson and checks every key. An unknown or missing key, a wrong type or a
 * value out of range results in an error that names the key, the value and the allowed range.
 */
#include "fescue_load/plan.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define DEADLINE_MS_DEFAULT 10000
#define DURATION_MS_DEFAULT 10000
#define GRACE_MS_DEFAULT    2000
#define MAX_CALLS_DEFAULT   1000000

/* Initializes a plan with the defaults, without streams and targets. */
void plan_init(struct plan *plan)
{
	memset(plan, 0, sizeof(*plan));
	plan->seed = 1;
	plan->duration_ms = DURATION_MS_DEFAULT;
	plan->grace_ms = GRACE_MS_DEFAULT;
	plan->max_calls = MAX_CALLS_DEFAULT;
}

/* Initializes a stream with the defaults: GET / with empty bodies and no rate. */
void plan_stream_init(struct plan_stream *stream)
{
	memset(stream, 0, sizeof(*stream));
	snprintf(stream->method, sizeof(stream->method), "GET");
	snprintf(stream->path, sizeof(stream->path), "/");
	stream->deadline_ms = DEADLINE_MS_DEFAULT;
}

/* Returns true if the calls of a stream may run more than once. */
bool plan_stream_is_idempotent(const struct plan_stream *stream)
{
	if (stream->marked_idempotent)
		return true;
	return strcmp(stream->method, "POST") != 0 && strcmp(stream->method, "PATCH") != 0;
}

/* Checks that a number is within its range. Returns 0, or -1 with err set. */
static int check_range(const char *where, const char *key, double value, double min, double max,
		       struct error *err)
{
	if (value >= min && value <= max)
		return 0;
	return error_set(err, ERROR_RANGE, "%s%s: %g, allowed %g to %g", where, key, value, min,
			 max);
}

/* Copies a string, which must not be empty and must fit. Returns 0, or -1 with err set. */
static int copy_text(char *into, size_t bytes, const char *where, const char *key, const char *text,
		     struct error *err)
{
	size_t length = strlen(text);

	if (length == 0 || length >= bytes)
		return error_set(err, ERROR_RANGE, "%s%s: %zu bytes, allowed 1 to %zu", where, key,
				 length, bytes - 1);
	memcpy(into, text, length + 1);
	return 0;
}

/*
 * Checks one stream. Errors start with where, the path of the stream. Returns 0, or -1 with err
 * set.
 */
static int check_stream(const struct plan_stream *stream, const char *where, struct error *err)
{
	static const char *const methods[] = {"GET",  "HEAD",  "PUT",	 "DELETE",
					      "POST", "PATCH", "OPTIONS"};
	size_t known = 0;

	while (known < 7 && strcmp(stream->method, methods[known]) != 0)
		known++;
	if (known == 7)
		return error_set(err, ERROR_RANGE, "%smethod: %s, allowed an HTTP method", where,
				 stream->method);
	if (stream->path[0] != '/')
		return error_set(err, ERROR_RANGE, "%spath: %s, allowed a path from /", where,
				 stream->path);
	if ((stream->calls_per_s > 0) == (stream->connections > 0))
		return error_set(err, ERROR_RANGE,
				 "%scalls_per_s, connections: exactly one must be above 0", where);
	if (check_range(where, "calls_per_s", stream->calls_per_s, 0, PLAN_CALLS_PER_S_MAX, err) ||
	    check_range(where, "connections", stream->connections, 0, PLAN_CONNECTIONS_MAX, err) ||
	    check_range(where, "body_bytes", stream->body_bytes, 0, CALL_BODY_BYTES_MAX, err) ||
	    check_range(where, "answer_bytes", stream->answer_bytes, 0, CALL_BODY_BYTES_MAX, err) ||
	    check_range(where, "keyed_share", stream->keyed_share, 0, 1, err))
		return -1;
	return check_range(where, "deadline_ms", stream->deadline_ms, 1, PLAN_DEADLINE_MS_MAX, err);
}

/* Checks a stream and adds it. Returns 0, or -1 with err set. */
int plan_add_stream(struct plan *plan, const struct plan_stream *stream, struct error *err)
{
	char where[32];

	if (plan->stream_count == PLAN_STREAMS_MAX)
		return error_set(err, ERROR_LIMIT, "streams: the plan has more than %d",
				 PLAN_STREAMS_MAX);
	snprintf(where, sizeof(where), "streams[%u].", plan->stream_count);
	if (check_stream(stream, where, err))
		return -1;
	plan->streams[plan->stream_count++] = *stream;
	return 0;
}

/* Adds a target with the address IP:PORT to a list. Returns 0, or -1 with err set. */
static int add_target(struct plan_target *targets, uint32_t *count, const char *address,
		      const char *service, struct error *err)
{
	struct plan_target *target = &targets[*count];
	char ip[PLAN_ADDRESS_BYTES] = "";
	unsigned int port = 0;

	if (*count == PLAN_TARGETS_MAX)
		return error_set(err, ERROR_LIMIT, "addresses: the plan has more than %d",
				 PLAN_TARGETS_MAX);
	if (copy_text(target->address_text, sizeof(target->address_text), "", "address", address,
		      err) ||
	    copy_text(target->service, sizeof(target->service), "", "service", service, err))
		return -1;
	if (sscanf(address, "%31[0-9.]:%u", ip, &port) != 2 || port == 0 || port > UINT16_MAX ||
	    inet_pton(AF_INET, ip, &target->address.sin_addr) != 1)
		return error_set(err, ERROR_RANGE, "address: %s, allowed IP:PORT", address);
	target->address.sin_family = AF_INET;
	target->address.sin_port = htons((uint16_t)port);
	(*count)++;
	return 0;
}

/* Adds the address at which an entry accepts calls. Returns 0, or -1 with err set. */
int plan_add_entry(struct plan *plan, const char *address, struct error *err)
{
	return add_target(plan->entries, &plan->entry_count, address, "entry", err);
}

/*
 * Adds a backend server whose executions are checked after the run. Returns 0, or -1 with err set.
 */
int plan_add_backend(struct plan *plan, const char *service, const char *address, struct error *err)
{
	return add_target(plan->backends, &plan->backend_count, address, service, err);
}

/* Checks a complete plan. Returns 0, or -1 with err set. */
int plan_check(const struct plan *plan, struct error *err)
{
	if (plan->stream_count == 0)
		return error_set(err, ERROR_MISSING, "streams: the plan has none");
	if (!plan->direct && plan->entry_count == 0)
		return error_set(err, ERROR_MISSING, "entries: the plan has none");
	if (check_range("", "duration_ms", plan->duration_ms, 1, PLAN_DURATION_MS_MAX, err) ||
	    check_range("", "grace_ms", plan->grace_ms, 0, PLAN_GRACE_MS_MAX, err) ||
	    check_range("", "max_calls", plan->max_calls, 1, PLAN_CALLS_MAX, err))
		return -1;
	for (uint32_t i = 0; plan->direct && i < plan->stream_count; i++) {
		uint32_t found = 0;

		while (found < plan->backend_count &&
		       strcmp(plan->backends[found].service, plan->streams[i].service) != 0)
			found++;
		if (found == plan->backend_count)
			return error_set(err, ERROR_MISSING,
					 "backends: the plan has none for service %s",
					 plan->streams[i].service);
	}
	return 0;
}

/* Sets err from a failure of json_unpack_ex. Returns -1. */
static int unpack_failed(const char *where, const json_error_t *json_err, struct error *err)
{
	enum error_kind kind = ERROR_TYPE;

	if (json_error_code(json_err) == json_error_item_not_found)
		kind = ERROR_MISSING;
	if (json_error_code(json_err) == json_error_end_of_input_expected)
		kind = ERROR_UNKNOWN_KEY;
	return error_set(err, kind, "%s%s", where, json_err->text);
}

/* Checks that a JSON integer fits its field, and stores it. Returns 0, or -1 with err set. */
static int store_u32(uint32_t *into, json_int_t value, const char *where, const char *key,
		     struct error *err)
{
	if (value < 0 || value > UINT32_MAX)
		return error_set(err, ERROR_RANGE, "%s%s: %lld, allowed 0 to %u", where, key,
				 (long long)value, UINT32_MAX);
	*into = (uint32_t)value;
	return 0;
}

/* Parses one stream and adds it. Returns 0, or -1 with err set. */
static int parse_stream(struct plan *plan, json_t *value, struct error *err)
{
	struct plan_stream stream;
	const char *service;
	const char *class_name;
	const char *method = "GET";
	const char *path = "/";
	json_int_t connections = 0;
	json_int_t body_bytes = 0;
	json_int_t answer_bytes = 0;
	json_int_t deadline_ms = DEADLINE_MS_DEFAULT;
	int idempotent = 0;
	char where[32];
	json_error_t json_err;

	plan_stream_init(&stream);
	snprintf(where, sizeof(where), "streams[%u].", plan->stream_count);
	if (json_unpack_ex(value, &json_err, JSON_STRICT,
			   "{s:s,s:s,s?s,s?s,s?F,s?I,s?I,s?I,s?I,s?F,s?b}", "service", &service,
			   "class", &class_name, "method", &method, "path", &path, "calls_per_s",
			   &stream.calls_per_s, "connections", &connections, "body_bytes",
			   &body_bytes, "answer_bytes", &answer_bytes, "deadline_ms", &deadline_ms,
			   "keyed_share", &stream.keyed_share, "idempotent", &idempotent))
		return unpack_failed(where, &json_err, err);
	stream.marked_idempotent = idempotent;
	if (copy_text(stream.service, sizeof(stream.service), where, "service", service, err) ||
	    copy_text(stream.class_name, sizeof(stream.class_name), where, "class", class_name,
		      err) ||
	    copy_text(stream.method, sizeof(stream.method), where, "method", method, err) ||
	    copy_text(stream.path, sizeof(stream.path), where, "path", path, err) ||
	    store_u32(&stream.connections, connections, where, "connections", err) ||
	    store_u32(&stream.body_bytes, body_bytes, where, "body_bytes", err) ||
	    store_u32(&stream.answer_bytes, answer_bytes, where, "answer_bytes", err) ||
	    store_u32(&stream.deadline_ms, deadline_ms, where, "deadline_ms", err))
		return -1;
	return plan_add_stream(plan, &stream, err);
}

/* Parses the list of backend servers. Returns 0, or -1 with err set. */
static int parse_backends(struct plan *plan, json_t *list, struct error *err)
{
	json_error_t json_err;
	json_t *value;
	size_t i;

	json_array_foreach(list, i, value)
	{
		const char *service;
		const char *address;

		if (json_unpack_ex(value, &json_err, JSON_STRICT, "{s:s,s:s}", "service", &service,
				   "address", &address))
			return unpack_failed("backends: ", &json_err, err);
		if (plan_add_backend(plan, service, address, err))
			return -1;
	}
	return 0;
}

/* Parses the lists of entries and streams. Returns 0, or -1 with err set. */
static int parse_lists(struct plan *plan, json_t *entries, json_t *streams, struct error *err)
{
	json_t *value;
	size_t i;

	json_array_foreach(entries, i, value)
	{
		if (!json_is_string(value))
			return error_set(err, ERROR_TYPE, "entries[%zu]: the value is not a string",
					 i);
		if (plan_add_entry(plan, json_string_value(value), err))
			return -1;
	}
	json_array_foreach(streams, i, value)
	{
		if (parse_stream(plan, value, err))
			return -1;
	}
	return 0;
}

/* Parses the top-level object of a plan. Returns 0, or -1 with err set. */
static int parse_root(struct plan *plan, json_t *root, struct error *err)
{
	json_int_t seed = (json_int_t)plan->seed;
	json_int_t duration_ms = plan->duration_ms;
	json_int_t grace_ms = plan->grace_ms;
	json_int_t max_calls = plan->max_calls;
	int entries_may_fail = 0;
	int backends_may_fail = 0;
	json_t *entries = NULL;
	json_t *backends = NULL;
	json_t *streams = NULL;
	json_error_t json_err;

	if (json_unpack_ex(root, &json_err, JSON_STRICT, "{s?I,s?I,s?I,s?I,s?b,s?b,s?o,s?o,s:o}",
			   "seed", &seed, "duration_ms", &duration_ms, "grace_ms", &grace_ms,
			   "max_calls", &max_calls, "entries_may_fail", &entries_may_fail,
			   "backends_may_fail", &backends_may_fail, "entries", &entries, "backends",
			   &backends, "streams", &streams))
		return unpack_failed("", &json_err, err);
	if (!json_is_array(streams) || (entries && !json_is_array(entries)) ||
	    (backends && !json_is_array(backends)))
		return error_set(err, ERROR_TYPE,
				 "streams, entries, backends: each must be an array");
	plan->seed = (uint64_t)seed;
	plan->entries_may_fail = entries_may_fail;
	plan->backends_may_fail = backends_may_fail;
	if (store_u32(&plan->duration_ms, duration_ms, "", "duration_ms", err) ||
	    store_u32(&plan->grace_ms, grace_ms, "", "grace_ms", err) ||
	    store_u32(&plan->max_calls, max_calls, "", "max_calls", err))
		return -1;
	return parse_lists(plan, entries, streams, err) || parse_backends(plan, backends, err) ? -1
											       : 0;
}

/*
 * Parses loaded JSON; sets err if root is NULL, since loading it failed. Returns 0, or -1 with err
 * set.
 */
static int parse_loaded(struct plan *plan, json_t *root, const json_error_t *json_err,
			struct error *err)
{
	int result;

	if (!root)
		return error_set(err, ERROR_SYNTAX, "%s: line %d, column %d: %s", json_err->source,
				 json_err->line, json_err->column, json_err->text);
	result = parse_root(plan, root, err);
	json_decref(root);
	return result;
}

/*
 * Parses a plan from a file. Keys that it lacks keep their values in *plan. Returns 0, or -1 with
 * err set.
 */
int plan_load(struct plan *plan, const char *file, struct error *err)
{
	json_error_t json_err;
	json_t *root = json_load_file(file, JSON_REJECT_DUPLICATES, &json_err);

	return parse_loaded(plan, root, &json_err, err);
}

/*
 * Parses a plan from JSON text. Keys that it lacks keep their values in *plan. Returns 0, or -1
 * with err set.
 */
int plan_parse(struct plan *plan, const char *json, struct error *err)
{
	json_error_t json_err;
	json_t *root = json_loads(json, JSON_REJECT_DUPLICATES, &json_err);

	return parse_loaded(plan, root, &json_err, err);
}

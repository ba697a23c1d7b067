/*
 * Announce: the listener on which the backend server beside this node announces itself. The chart
 * backend_server decides which state follows from an announcement, and which are refused.
 */
#include "fescuemill/http/announce.h"

#include "fescuemill/base/log.h"
#include "fescuemill/chart/chart.h"
#include "fescuemill/http/server.h"

#include <ctype.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES_MAX	 4096
#define IDLE_MS		 30000
#define PORT_MAX	 65535
#define REPLY_TEXT_BYTES 64

struct announce {
	struct http_server *server;
	struct announce_options options;
	uv_timer_t lease;
	struct announcement now;
};

/* A backend server's states are numbered as those of its chart. */
_Static_assert((int)BACKEND_NONE == (int)BACKEND_CHART_NONE, "none");
_Static_assert((int)BACKEND_STARTING == (int)BACKEND_CHART_STARTING, "starting");
_Static_assert((int)BACKEND_READY == (int)BACKEND_CHART_READY, "ready");
_Static_assert((int)BACKEND_DRAINING == (int)BACKEND_CHART_DRAINING, "draining");
_Static_assert((int)BACKEND_LEAVING == (int)BACKEND_CHART_LEAVING, "leaving");

static const struct {
	const char *name;
	enum backend_state state;
} states[] = {
	{"starting", BACKEND_STARTING},
	{"ready", BACKEND_READY},
	{"draining", BACKEND_DRAINING},
	{"leaving", BACKEND_LEAVING},
};

static const enum backend_input inputs[BACKEND_STATE_COUNT] = {
	[BACKEND_NONE] = BACKEND_INPUT_LEASE_EXPIRED, [BACKEND_STARTING] = BACKEND_INPUT_STARTING,
	[BACKEND_READY] = BACKEND_INPUT_READY,	      [BACKEND_DRAINING] = BACKEND_INPUT_DRAINING,
	[BACKEND_LEAVING] = BACKEND_INPUT_LEAVING,
};

/* Reads a whole number of an object. Errors: ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
static int read_number(const json_t *object, const char *key, json_int_t highest, uint32_t *out,
		       struct error *err)
{
	const json_t *value = json_object_get(object, key);
	json_int_t number = json_integer_value(value);

	if (!value)
		return error_set(err, ERROR_MISSING, "%s: required", key);
	if (!json_is_integer(value))
		return error_set(err, ERROR_TYPE, "%s: allowed is a whole number", key);
	if (number < 1 || number > highest)
		return error_set(err, ERROR_RANGE, "%s: found %lld, allowed 1 to %lld", key,
				 (long long)number, (long long)highest);
	*out = (uint32_t)number;
	return 0;
}

/* Reads a text of an object. Errors: ERROR_MISSING, ERROR_TYPE. */
static int read_text(const json_t *object, const char *key, const char **out, struct error *err)
{
	const json_t *value = json_object_get(object, key);

	if (!value)
		return error_set(err, ERROR_MISSING, "%s: required", key);
	if (!json_is_string(value))
		return error_set(err, ERROR_TYPE, "%s: allowed is a text", key);
	*out = json_string_value(value);
	return 0;
}

/* Reads the service's name. Errors: ERROR_MISSING, ERROR_TYPE, ERROR_RANGE, ERROR_SYNTAX. */
static int read_service(const json_t *object, struct announcement *out, struct error *err)
{
	const char *text;

	if (read_text(object, "service", &text, err) != 0)
		return -1;
	if (text[0] == '\0' || strlen(text) >= sizeof(out->service))
		return error_set(err, ERROR_RANGE, "service: allowed are 1 to %zu bytes",
				 sizeof(out->service) - 1);
	for (size_t i = 0; text[i]; i++) {
		if (!isalnum((unsigned char)text[i]) && !strchr("-_.", text[i]))
			return error_set(err, ERROR_SYNTAX, "service: byte %zu is not allowed", i);
	}
	memcpy(out->service, text, strlen(text) + 1);
	return 0;
}

/* Reads the state. Errors: ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
static int read_state(const json_t *object, struct announcement *out, struct error *err)
{
	const char *text;

	if (read_text(object, "state", &text, err) != 0)
		return -1;
	for (size_t i = 0; i < sizeof(states) / sizeof(states[0]); i++) {
		if (strcmp(text, states[i].name) == 0) {
			out->state = states[i].state;
			return 0;
		}
	}
	return error_set(err, ERROR_RANGE,
			 "state: found \"%.20s\", allowed starting, ready, "
			 "draining, leaving",
			 text);
}

/* Reads the fields of an announcement. */
static int read_fields(const json_t *object, struct announcement *out, struct error *err)
{
	uint32_t port = 0;

	if (read_service(object, out, err) != 0)
		return -1;
	if (read_number(object, "port", PORT_MAX, &port, err) != 0)
		return -1;
	out->port = (uint16_t)port;
	if (read_number(object, "slots", ANNOUNCE_SLOTS_MAX, &out->slots, err) != 0)
		return -1;
	return read_state(object, out, err);
}

/* Reads an announcement. Errors: ERROR_SYNTAX, ERROR_MISSING, ERROR_TYPE, ERROR_RANGE. */
int announcement_parse(const char *json, size_t size, struct announcement *out, struct error *err)
{
	json_error_t where;
	json_t *object = json_loadb(json ? json : "", size, 0, &where);
	int rc;

	memset(out, 0, sizeof(*out));
	if (!json_is_object(object)) {
		json_decref(object);
		return error_set(err, ERROR_SYNTAX, "announcement: allowed is a JSON object");
	}
	rc = read_fields(object, out, err);
	json_decref(object);
	return rc;
}

/* Tells whether two announcements say the same. */
static bool is_same(const struct announcement *a, const struct announcement *b)
{
	return a->port == b->port && a->slots == b->slots && a->state == b->state &&
	       strcmp(a->service, b->service) == 0;
}

/* Moves along the chart and tells the owner when something changed. Errors: ERROR_STATE when the
 * chart does not take the announcement in the present state; nothing changes then. */
static int take(struct announce *ann, const struct announcement *news, struct error *err)
{
	struct announcement now = *news;
	uint32_t next;

	if (chart_next(CHART_BACKEND_SERVER, ann->now.state, inputs[news->state], &next, err) != 0)
		return -1;
	now.state = (enum backend_state)next;
	if (is_same(&ann->now, &now))
		return 0;
	ann->now = now;
	ann->options.on_change(ann->options.user, &ann->now);
	return 0;
}

/* Ends the announcement when its lease was not renewed. */
static void on_lease_ended(uv_timer_t *timer)
{
	struct announce *ann = timer->data;
	struct announcement none;

	log_write(LOG_WARNING, LOG_PART_HTTP, "The backend server's lease ended.", "service=%s",
		  ann->now.service);
	memset(&none, 0, sizeof(none));
	take(ann, &none, NULL);
}

/* Ends the lease before its time. A backend server that still runs announces itself again. */
void announce_end_lease(struct announce *ann)
{
	uv_timer_stop(&ann->lease);
	on_lease_ended(&ann->lease);
}

/* Answers a request that is not an announcement, or a wrong one. */
static void respond_failure(h2o_req_t *req, const struct error *err)
{
	json_t *body =
		json_pack("{s:s, s:s}", "error", error_kind_name(err->kind), "detail", err->detail);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	http_respond_json(req, error_http_status(err->kind), text ? text : "{}");
	free(text);
	json_decref(body);
}

/* Takes one announcement and renews the lease. */
static void handle(void *user, h2o_req_t *req)
{
	struct announce *ann = user;
	struct announcement now;
	struct error err = {0};
	char text[REPLY_TEXT_BYTES];
	int rc;

	if (!h2o_memis(req->input.path.base, req->input.path.len, H2O_STRLIT("/announce")) ||
	    !h2o_memis(req->input.method.base, req->input.method.len, H2O_STRLIT("POST")))
		rc = error_set(&err, ERROR_NOT_FOUND, "allowed is POST /announce");
	else
		rc = announcement_parse(req->entity.base, req->entity.len, &now, &err);
	if (rc == 0)
		rc = take(ann, &now, &err);
	if (rc != 0) {
		respond_failure(req, &err);
		return;
	}
	uv_timer_start(&ann->lease, on_lease_ended, ANNOUNCE_LEASE_MS, 0);
	snprintf(text, sizeof(text), "{\"lease_ms\":%d,\"in_use\":%u}", ANNOUNCE_LEASE_MS,
		 ann->options.in_use(ann->options.user));
	http_respond_json(req, 200, text);
}

/* Opens the listener. Errors: ERROR_SYSTEM, ERROR_MEMORY and those of the charts. */
int announce_open(struct announce **out, uv_loop_t *loop, const struct announce_options *opt,
		  struct error *err)
{
	struct announce *ann = calloc(1, sizeof(*ann));
	struct http_server_options options = {
		.ip = opt->ip,
		.port = opt->port,
		.body_bytes_max = BODY_BYTES_MAX,
		.idle_ms = IDLE_MS,
		.on_request = handle,
		.user = ann,
	};

	if (!ann)
		return error_set(err, ERROR_MEMORY, "no memory for the announcements' listener");
	ann->options = *opt;
	if (charts_load(err) != 0 || http_server_open(&ann->server, loop, &options, err) != 0) {
		free(ann);
		return -1;
	}
	uv_timer_init(loop, &ann->lease);
	ann->lease.data = ann;
	*out = ann;
	return 0;
}

/* Gives the port that the listener really has. */
uint16_t announce_port(const struct announce *ann)
{
	return http_server_port(ann->server);
}

/* Stops listening; no change is told any more. */
void announce_close(struct announce *ann)
{
	http_server_close(ann->server);
	uv_close((uv_handle_t *)&ann->lease, NULL);
}

/* Frees a closed listener whose connections have ended. */
void announce_free(struct announce *ann)
{
	http_server_free(ann->server);
	free(ann);
}

/*
 * Announce: HTTP listener on which the local backend server announces its state. The state chart
 * backend_server decides which announcements are accepted and which state follows.
 */
#include "fescuemill/http/announce.h"

#include "fescuemill/base/log.h"
#include "fescuemill/chart/chart.h"
#include "fescuemill/http/server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES_MAX	 4096
#define IDLE_MS		 30000
#define REPLY_TEXT_BYTES 256

struct announce {
	struct http_server *server;
	struct announce_options options;
	uv_timer_t lease;
	struct announcement current; /* BACKEND_NONE while no lease is running */
	struct announcement latest;  /* last accepted announcement; kept after its lease expires */
	bool is_refused;	     /* a health check found the backend server not ready */
	bool is_leaving; /* this start of the backend server has stated in an answer that it is */
};

/* enum backend_state has the same numbering as the states of the chart. */
_Static_assert((int)BACKEND_NONE == (int)BACKEND_CHART_NONE, "none");
_Static_assert((int)BACKEND_STARTING == (int)BACKEND_CHART_STARTING, "starting");
_Static_assert((int)BACKEND_READY == (int)BACKEND_CHART_READY, "ready");
_Static_assert((int)BACKEND_DRAINING == (int)BACKEND_CHART_DRAINING, "draining");
_Static_assert((int)BACKEND_LEAVING == (int)BACKEND_CHART_LEAVING, "leaving");

static const enum backend_input inputs[BACKEND_STATE_COUNT] = {
	[BACKEND_NONE] = BACKEND_INPUT_LEASE_EXPIRED, [BACKEND_STARTING] = BACKEND_INPUT_STARTING,
	[BACKEND_READY] = BACKEND_INPUT_READY,	      [BACKEND_DRAINING] = BACKEND_INPUT_DRAINING,
	[BACKEND_LEAVING] = BACKEND_INPUT_LEAVING,
};

/* Returns true if two announcements state the same service, instance, address, slots and state. */
static bool is_same_announcement(const struct announcement *a, const struct announcement *b)
{
	return a->port == b->port && a->ip == b->ip && a->slots == b->slots &&
	       a->state == b->state && strcmp(a->instance, b->instance) == 0 &&
	       strcmp(a->service, b->service) == 0;
}

/* Applies an announcement to the chart and calls on_change if something changed. Errors:
 * ERROR_STATE when the chart has no such transition from the current state; nothing changes then.
 */
static int apply(struct announce *ann, const struct announcement *update, struct error *err)
{
	struct announcement now = *update;
	uint32_t next;

	if (chart_next(CHART_BACKEND_SERVER, ann->current.state, inputs[update->state], &next,
		       err) != 0)
		return -1;
	now.state = (enum backend_state)next;
	if (is_same_announcement(&ann->current, &now))
		return 0;
	ann->current = now;
	ann->options.on_change(ann->options.user, &ann->current);
	return 0;
}

/* Sets the state to BACKEND_NONE after the lease has expired. */
static void on_lease_expired(uv_timer_t *timer)
{
	struct announce *ann = timer->data;
	struct announcement none;

	log_write(LOG_WARNING, LOG_PART_HTTP, "The lease of the backend server expired.",
		  "service=%s", ann->current.service);
	memset(&none, 0, sizeof(none));
	/* Without a name or a start time, the next announcement may be from the next start. */
	if (!ann->latest.instance[0] && !ann->latest.started_ms)
		ann->is_leaving = false;
	apply(ann, &none, NULL);
}

/* Expires the lease at once. A backend server that is still running announces itself again. */
void announce_expire_lease(struct announce *ann)
{
	uv_timer_stop(&ann->lease);
	on_lease_expired(&ann->lease);
}

/* Answers an invalid or rejected request with the error as JSON. */
static void respond_failure(h2o_req_t *req, const struct error *err)
{
	json_t *body =
		json_pack("{s:s, s:s}", "error", error_kind_name(err->kind), "detail", err->detail);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	http_respond_json(req, error_http_status(err->kind), text ? text : "{}");
	free(text);
	json_decref(body);
}

/* Returns true if an announcement must be confirmed by the next one; see
 * announce_backend_refused().
 */
static bool must_be_confirmed(const struct announce *ann, const struct announcement *update)
{
	return ann->is_refused && ann->latest.state == BACKEND_NONE &&
	       update->state == BACKEND_READY;
}

/* Applies an announcement unless it is stale, and renews the lease. A stale announcement changes
 * nothing and is no error. A new instance begins in BACKEND_NONE, so that the state of the previous
 * instance does not restrict it. Errors: ERROR_STATE. */
static int apply_in_order(struct announce *ann, struct announcement *update, struct error *err)
{
	static const struct announcement none;
	enum announcement_order order = announcement_compare(&ann->latest, update);

	if (order != ANNOUNCEMENT_STALE && ann->options.on_heartbeat)
		ann->options.on_heartbeat(ann->options.user, update);
	switch (order) {
	case ANNOUNCEMENT_STALE:
		log_write(LOG_INFO, LOG_PART_HTTP,
			  "A stale announcement of the backend server was ignored.",
			  "instance=%s sequence=%llu latest_instance=%s latest_sequence=%llu",
			  update->instance, (unsigned long long)update->sequence,
			  ann->latest.instance, (unsigned long long)ann->latest.sequence);
		return 0;
	case ANNOUNCEMENT_NEW_START:
		ann->is_leaving = false;
		if (ann->current.state != BACKEND_NONE)
			apply(ann, &none, NULL);
		break;
	case ANNOUNCEMENT_NEWER:
		announcement_fill_partial(update, &ann->latest);
		break;
	}
	if (ann->is_leaving && update->state != BACKEND_LEAVING)
		update->state = BACKEND_DRAINING;
	if (must_be_confirmed(ann, update)) {
		log_write(
			LOG_INFO, LOG_PART_HTTP,
			"The first announcement contradicts a health check; the next one decides.",
			"instance=%s sequence=%llu", update->instance,
			(unsigned long long)update->sequence);
		ann->latest = *update;
		return 0;
	}
	if (apply(ann, update, err) != 0)
		return -1;
	ann->latest = *update;
	uv_timer_start(&ann->lease, on_lease_expired, ann->options.lease_ms, 0);
	return 0;
}

/* Returns true if the latest announcement reported that this instance is draining or leaving. An
 * empty instance name matches any instance. */
static bool is_known_to_leave(const struct announcement *latest, const char *instance)
{
	bool is_leaving = latest->state == BACKEND_DRAINING || latest->state == BACKEND_LEAVING;

	return is_leaving &&
	       (!instance[0] || !latest->instance[0] || strcmp(latest->instance, instance) == 0);
}

/* Applies the state that a health check found, if no announcement is valid and the instance has not
 * announced that it is draining or leaving. */
void announce_backend_found(struct announce *ann, const struct announcement *found)
{
	struct announcement update = *found;

	if (ann->current.state != BACKEND_NONE || is_known_to_leave(&ann->latest, found->instance))
		return;
	ann->is_refused = false;
	log_write(LOG_INFO, LOG_PART_HTTP, "A health check found a backend server.",
		  "service=%s instance=%s slots=%u", found->service, found->instance, found->slots);
	if (apply(ann, &update, NULL) == 0)
		uv_timer_start(&ann->lease, on_lease_expired, ann->options.lease_ms, 0);
}

/* Drains the backend server, which has stated in an answer that it is leaving. */
void announce_backend_leaving(struct announce *ann, uint64_t started_ms)
{
	struct announcement update = ann->current;

	ann->is_leaving = true;
	if (ann->current.state != BACKEND_NONE && !ann->latest.instance[0])
		ann->latest = ann->current;
	if (ann->latest.state != BACKEND_LEAVING)
		ann->latest.state = BACKEND_DRAINING;
	if (!ann->latest.started_ms)
		ann->latest.started_ms = started_ms;
	update.state = BACKEND_DRAINING;
	if (ann->current.state == BACKEND_READY || ann->current.state == BACKEND_STARTING)
		apply(ann, &update, NULL);
}

/* Records that a health check found the backend server not ready. */
void announce_backend_refused(struct announce *ann)
{
	ann->is_refused = true;
}

/* Returns the method and path of a request. Headers are left out: announcements need none. */
static struct call_head head_of(const h2o_req_t *req)
{
	return (struct call_head){
		.method = {(const uint8_t *)req->input.method.base,
			   (uint32_t)req->input.method.len},
		.path = {(const uint8_t *)req->input.path.base, (uint32_t)req->input.path.len},
	};
}

/* Handles one HTTP request: reads the announcement, applies it and answers. */
static void on_announce_request(void *user, h2o_req_t *req)
{
	struct announce *ann = user;
	struct call_head head = head_of(req);
	struct wire_bytes body = {(const uint8_t *)req->entity.base, (uint32_t)req->entity.len};
	struct announcement update;
	struct error err = {0};
	char text[REPLY_TEXT_BYTES] = "";
	struct text_buffer reply = {text, 0, sizeof(text)};
	int rc = ann->options.dialect->read_announcement(&head, body, &update, &err);

	if (rc == 0)
		rc = apply_in_order(ann, &update, &err);
	if (rc != 0) {
		log_failure(LOG_WARNING, LOG_PART_HTTP, "An announcement was refused.", &err);
		respond_failure(req, &err);
		return;
	}
	ann->options.dialect->write_announcement_reply(
		&ann->current, ann->options.in_use(ann->options.user), &reply);
	http_respond_json(req, 200, text);
}

/* Opens the listener. Errors: ERROR_SYSTEM, ERROR_MEMORY and those of charts_load(). */
int announce_open(struct announce **out, uv_loop_t *loop, const struct announce_options *opt,
		  struct error *err)
{
	struct announce *ann = calloc(1, sizeof(*ann));
	struct http_server_options options = {
		.ip = opt->ip,
		.port = opt->port,
		.body_bytes_max = BODY_BYTES_MAX,
		.idle_ms = IDLE_MS,
		.on_request = on_announce_request,
		.user = ann,
	};

	if (!ann)
		return error_set(err, ERROR_MEMORY, "no memory for the announcement listener");
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

/* Returns the port that the listener is bound to. */
uint16_t announce_port(const struct announce *ann)
{
	return http_server_port(ann->server);
}

/* Stops listening; on_change is not called any more. */
void announce_close(struct announce *ann)
{
	http_server_detach(ann->server);
	uv_close((uv_handle_t *)&ann->lease, NULL);
}

/* Frees a closed listener whose connections have ended. */
void announce_free(struct announce *ann)
{
	http_server_free(ann->server);
	free(ann);
}

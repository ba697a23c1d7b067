/*
 * Announce: the listener on which the backend server beside this node announces itself. The chart
 * backend_server decides which state follows from an announcement, and which are refused.
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
	struct announcement now;
	struct announcement latest; /* what was taken last, kept when its lease ends */
};

/* A backend server's states are numbered as those of its chart. */
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

/* Tells whether two announcements say the same. */
static bool is_same(const struct announcement *a, const struct announcement *b)
{
	return a->port == b->port && a->ip == b->ip && a->slots == b->slots &&
	       a->state == b->state && strcmp(a->instance, b->instance) == 0 &&
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

/* Takes an announcement in its order: one that was overtaken changes nothing, and a new start is
 * not bound by what the one before said. */
static int take_in_order(struct announce *ann, struct announcement *news, struct error *err)
{
	static const struct announcement none;

	switch (announcement_order_of(&ann->latest, news)) {
	case ANNOUNCEMENT_STALE:
		log_write(LOG_INFO, LOG_PART_HTTP, "An announcement was overtaken.",
			  "instance=%s sequence=%llu latest_instance=%s latest_sequence=%llu",
			  news->instance, (unsigned long long)news->sequence, ann->latest.instance,
			  (unsigned long long)ann->latest.sequence);
		return 0;
	case ANNOUNCEMENT_NEW_START:
		if (ann->now.state != BACKEND_NONE)
			take(ann, &none, NULL);
		break;
	case ANNOUNCEMENT_NEXT:
		announcement_complete(news, &ann->latest);
		break;
	}
	if (take(ann, news, err) != 0)
		return -1;
	ann->latest = *news;
	uv_timer_start(&ann->lease, on_lease_ended, ann->options.lease_ms, 0);
	return 0;
}

/* Tells whether a start of the backend server has said that it leaves. */
static bool has_left(const struct announcement *latest, const char *instance)
{
	bool is_leaving = latest->state == BACKEND_DRAINING || latest->state == BACKEND_LEAVING;

	return is_leaving &&
	       (!instance[0] || !latest->instance[0] || strcmp(latest->instance, instance) == 0);
}

/* Takes what a health check found. */
void announce_found(struct announce *ann, const struct announcement *found)
{
	struct announcement news = *found;

	if (ann->now.state != BACKEND_NONE || has_left(&ann->latest, found->instance))
		return;
	log_write(LOG_INFO, LOG_PART_HTTP, "A backend server was found by its health check.",
		  "service=%s instance=%s slots=%u", found->service, found->instance, found->slots);
	if (take(ann, &news, NULL) == 0)
		uv_timer_start(&ann->lease, on_lease_ended, ann->options.lease_ms, 0);
}

/* Lists a request's head as wire bytes; announcements need no headers. */
static struct call_head head_of(const h2o_req_t *req)
{
	return (struct call_head){
		.method = {(const uint8_t *)req->input.method.base,
			   (uint32_t)req->input.method.len},
		.path = {(const uint8_t *)req->input.path.base, (uint32_t)req->input.path.len},
	};
}

/* Takes one announcement and renews the lease. */
static void handle(void *user, h2o_req_t *req)
{
	struct announce *ann = user;
	struct call_head head = head_of(req);
	struct wire_bytes body = {(const uint8_t *)req->entity.base, (uint32_t)req->entity.len};
	struct announcement news;
	struct error err = {0};
	char text[REPLY_TEXT_BYTES] = "";
	struct head_text reply = {text, 0, sizeof(text)};
	int rc = ann->options.dialect->read_announcement(&head, body, &news, &err);

	if (rc == 0)
		rc = take_in_order(ann, &news, &err);
	if (rc != 0) {
		log_failure(LOG_WARNING, LOG_PART_HTTP, "An announcement was refused.", &err);
		respond_failure(req, &err);
		return;
	}
	ann->options.dialect->write_announced(&ann->now, ann->options.in_use(ann->options.user),
					      &reply);
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
	http_server_release(ann->server);
	uv_close((uv_handle_t *)&ann->lease, NULL);
}

/* Frees a closed listener whose connections have ended. */
void announce_free(struct announce *ann)
{
	http_server_free(ann->server);
	free(ann);
}

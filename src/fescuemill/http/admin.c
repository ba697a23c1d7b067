/*
 * Administration API: request handlers and routes of a node's administration address. Reads are
 * answered from the configuration in force at this node; a change is a conditional update at the
 * platform.
 */
#include "fescuemill/http/admin.h"

#include "fescuemill/admin/auth.h"
#include "fescuemill/admin/change_task.h"
#include "fescuemill/admin/customer_view.h"
#include "fescuemill/admin/edit.h"
#include "fescuemill/admin/evacuation_task.h"
#include "fescuemill/admin/version_view.h"
#include "fescuemill/admin/view.h"
#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/latency.h"
#include "fescuemill/base/log.h"
#include "fescuemill/base/random.h"
#include "fescuemill/http/server.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES_MAX		((size_t)64 * 1024)   /* a larger body is answered with an error */
#define RECEIVED_BODY_BYTES_MAX ((size_t)1024 * 1024) /* a larger body closes the connection */
#define IDLE_MS			60000
#define PATH_PARTS_MAX		5
#define METRICS_BYTES		((size_t)64 * 1024)
#define VERSION_DIGITS		19 /* a version has fewer digits, which fit in 63 bits */

struct admin {
	struct admin_node node;
	uv_loop_t *loop;
	struct http_server *server;
	struct auth auth;
	struct random rng;
	uint32_t changes; /* number of changes in progress */
	bool closing;
};

/* One request: its path, split, and the team that owns its key. */
struct admin_request {
	h2o_req_t *req;
	const char *team;
	uint32_t part_count;
	char parts[PATH_PARTS_MAX][PLATFORM_NAME_BYTES];
};

static void respond(h2o_req_t *req, int status, json_t *view)
{
	char *text = view ? json_dumps(view, JSON_COMPACT) : NULL;

	json_decref(view);
	http_respond_json(req, text ? status : 500, text ? text : "{}");
	free(text);
}

static void respond_error(h2o_req_t *req, const struct error *err)
{
	counter_add(COUNTER_ADMIN_REFUSED, 1);
	respond(req, error_http_status(err->kind), view_error(err));
}

static h2o_iovec_t header(h2o_req_t *req, const char *name)
{
	ssize_t index = h2o_find_header_by_str(&req->headers, name, strlen(name), -1);

	return index < 0 ? h2o_iovec_init(NULL, 0) : req->headers.entries[index].value;
}

/* Splits the path, without its query, at the slashes. Errors: ERROR_NOT_FOUND. */
static int split_path(struct admin_request *request, struct error *err)
{
	const char *at = request->req->path_normalized.base;
	const char *end = at + request->req->path_normalized.len;

	while (at < end) {
		const char *slash;
		size_t size;

		at += *at == '/';
		slash = memchr(at, '/', (size_t)(end - at));
		size = (size_t)((slash ? slash : end) - at);
		if (!size)
			break;
		if (request->part_count == PATH_PARTS_MAX || size >= PLATFORM_NAME_BYTES)
			return error_set(err, ERROR_NOT_FOUND, "no such path");
		memcpy(request->parts[request->part_count], at, size);
		request->parts[request->part_count++][size] = '\0';
		at += size;
	}
	return 0;
}

static bool is_method(const struct admin_request *request, const char *method)
{
	const h2o_iovec_t *given = &request->req->method;

	return h2o_memis(given->base, given->len, method, strlen(method));
}

/* Returns true if the path has the given parts; "*" matches any part. */
static bool is_path(const struct admin_request *request, const char *const *parts)
{
	uint32_t count = 0;

	while (parts[count]) {
		if (count == request->part_count)
			return false;
		if (strcmp(parts[count], "*") != 0 &&
		    strcmp(parts[count], request->parts[count]) != 0)
			return false;
		count++;
	}
	return count == request->part_count;
}

/* Parses a configuration version: decimal digits. Errors: ERROR_RANGE. */
static int read_version(const char *what, const char *text, size_t size, uint64_t *out,
			struct error *err)
{
	uint64_t version = 0;

	for (size_t i = 0; i < size; i++) {
		if (text[i] < '0' || text[i] > '9' || size > VERSION_DIGITS - 1)
			return error_set(err, ERROR_RANGE, "%s: found \"%.*s\", allowed a version",
					 what, (int)(size < 32 ? size : 32), text);
		version = version * 10 + (uint64_t)(text[i] - '0');
	}
	*out = version;
	return 0;
}

static void get_service(struct admin *admin, struct admin_request *request)
{
	const struct service_object *object = config_object(admin->node.config, request->parts[2]);
	const struct class_target *target;
	struct error err;

	if (!object) {
		error_set(&err, ERROR_NOT_FOUND, "no service %s in force here", request->parts[2]);
		respond_error(request->req, &err);
		return;
	}
	if (request->part_count == 3) {
		respond(request->req, 200, view_service(object));
		return;
	}
	target = config_find_class(&object->config, request->parts[4]);
	if (!target) {
		error_set(&err, ERROR_NOT_FOUND, "service %s has no class %s", request->parts[2],
			  request->parts[4]);
		respond_error(request->req, &err);
		return;
	}
	respond(request->req, 200, view_class(object, target));
}

static void get_services(struct admin *admin, struct admin_request *request)
{
	respond(request->req, 200, view_services(&admin->node));
}

static void get_customers(struct admin *admin, struct admin_request *request)
{
	respond(request->req, 200, view_customers(&admin->node));
}

static void get_versions(struct admin *admin, struct admin_request *request)
{
	respond(request->req, 200, view_versions(&admin->node));
}

/* Answers with the members known to have a version, and requests reports from the others, so
 * that a later answer can include them. */
static void get_version(struct admin *admin, struct admin_request *request)
{
	uint64_t version = 0;
	struct error err;

	if (read_version("version", request->parts[2], strlen(request->parts[2]), &version, &err)) {
		respond_error(request->req, &err);
		return;
	}
	if (admin->node.query_version)
		admin->node.query_version(admin->node.user, version);
	respond(request->req, 200, version_view(&admin->node, version));
}

static void get_status(struct admin *admin, struct admin_request *request)
{
	respond(request->req, 200, view_status(&admin->node));
}

static void get_members(struct admin *admin, struct admin_request *request)
{
	respond(request->req, 200, view_members(&admin->node));
}

static void get_counters(struct admin *admin, struct admin_request *request)
{
	(void)admin;
	respond(request->req, 200, view_counters());
}

static void get_report(struct admin *admin, struct admin_request *request)
{
	char *text = admin->node.report ? admin->node.report(admin->node.user) : NULL;
	struct error err;

	if (!text) {
		error_set(&err, ERROR_NOT_FOUND, "this node has no report");
		respond_error(request->req, &err);
		return;
	}
	http_respond_json(request->req, 200, text);
	free(text);
}

/* Answers with all counters and latencies, in the Prometheus text exposition format. */
static void get_metrics(h2o_req_t *req)
{
	char *text = h2o_mem_alloc_pool(&req->pool, METRICS_BYTES);
	size_t size = counter_write_text(text, METRICS_BYTES);

	if (size < METRICS_BYTES)
		size += latency_write_text(text + size, METRICS_BYTES - size);

	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
		       H2O_STRLIT("text/plain; version=0.0.4"));
	http_respond(req, 200, text, size < METRICS_BYTES ? size : METRICS_BYTES - 1);
}

static void post_drain(struct admin *admin, struct admin_request *request)
{
	struct admin_status status = {.state = "unknown"};
	struct error err;

	admin->node.status(admin->node.user, &status);
	if (!auth_may_operate(&admin->auth, request->team, status.service)) {
		error_set(&err, ERROR_DENIED, "team %s has no right to service \"%s\" or \"*\"",
			  request->team, status.service);
		respond_error(request->req, &err);
		return;
	}
	log_write(LOG_INFO, LOG_PART_ADMIN, "A drain of this node was requested.", "team=%s",
		  request->team);
	respond(request->req, 202, json_pack("{s:s}", "state", "draining"));
	admin->node.drain(admin->node.user);
}

/* Reads the header if-version: the version that a change is based on. Errors: ERROR_MISSING,
 * ERROR_RANGE. */
static int read_if_version(h2o_req_t *req, uint64_t *out, struct error *err)
{
	h2o_iovec_t text = header(req, "if-version");

	if (!text.len)
		return error_set(err, ERROR_MISSING, "if-version: missing; 0 creates a service");
	return read_version("if-version", text.base, text.len, out, err);
}

/* Copies a header value of printable characters; leaves `out` as it is if the header is absent.
 * Errors: ERROR_RANGE. */
static int read_short(h2o_req_t *req, const char *name, char *out, size_t size, struct error *err)
{
	h2o_iovec_t text = header(req, name);

	if (text.len >= size)
		return error_set(err, ERROR_RANGE, "%s: found %zu bytes, allowed 1 to %zu", name,
				 text.len, size - 1);
	for (size_t i = 0; i < text.len; i++) {
		if (text.base[i] < ' ' || text.base[i] > '~')
			return error_set(err, ERROR_RANGE, "%s: not printable", name);
	}
	if (text.len) {
		memcpy(out, text.base, text.len);
		out[text.len] = '\0';
	}
	return 0;
}

/* Fills the author, time and id of a change. The author is the team and the id is 32 random hex
 * digits, unless the request states them. Errors: ERROR_RANGE. */
static int read_change(struct admin *admin, const struct admin_request *request,
		       struct service_change *out, struct error *err)
{
	for (size_t i = 0; i < CHANGE_ID_BYTES - 1; i++)
		out->id[i] = "0123456789abcdef"[random_below(&admin->rng, 16)];
	strncpy(out->by, request->team, sizeof(out->by) - 1);
	out->at_ms = clock_wall_us() / USEC_PER_MSEC;
	if (read_short(request->req, "x-fescue-change-id", out->id, sizeof(out->id), err))
		return -1;
	return read_short(request->req, "x-fescue-by", out->by, sizeof(out->by), err);
}

static int copy_name(const char *what, const char *name, char *out, size_t size, struct error *err)
{
	if (strlen(name) >= size)
		return error_set(err, ERROR_RANGE, "%s: found %zu bytes, allowed 1 to %zu", what,
				 strlen(name), size - 1);
	strncpy(out, name, size);
	return 0;
}

/* Builds the edit that a PUT or DELETE request describes. */
static int read_edit(struct admin *admin, const struct admin_request *request, struct edit *edit,
		     struct error *err)
{
	const h2o_iovec_t *body = &request->req->entity;
	bool put = is_method(request, "PUT");
	bool class_named = request->part_count == PATH_PARTS_MAX;

	if (copy_name("service", request->parts[2], edit->service, sizeof(edit->service), err) ||
	    copy_name("team", request->team, edit->team, sizeof(edit->team), err) ||
	    read_if_version(request->req, &edit->if_version, err) ||
	    read_change(admin, request, &edit->change, err))
		return -1;
	if (!class_named) {
		edit->type = put ? EDIT_PUT_SERVICE : EDIT_DELETE_SERVICE;
		return put ? edit_read_service(edit, body->base, body->len, err) : 0;
	}
	edit->type = put ? EDIT_PUT_CLASS : EDIT_DELETE_CLASS;
	if (put)
		return edit_read_class(edit, request->parts[4], body->base, body->len, err);
	return copy_name("class", request->parts[4], edit->name, sizeof(edit->name), err);
}

static void change_service(struct admin *admin, struct admin_request *request)
{
	struct change_task_options options = {.loop = admin->loop,
					      .platform = admin->node.platform,
					      .config = admin->node.config,
					      .auth = &admin->auth,
					      .running = &admin->changes,
					      .respond = respond,
					      .respond_error = respond_error};
	struct edit edit = {0};
	struct error err;

	if (admin->closing) {
		error_set(&err, ERROR_STATE, "this node is stopping");
		respond_error(request->req, &err);
		return;
	}
	if (read_edit(admin, request, &edit, &err) ||
	    change_task_start(&options, &edit, request->req, &err))
		respond_error(request->req, &err);
}

/* Returns false, after an answer, if this deployment has no evacuations. */
static bool has_evacuations(struct admin *admin, struct admin_request *request)
{
	struct error err;

	if (admin->node.evacuations)
		return true;
	error_set(&err, ERROR_NOT_FOUND, "the setting evacuation_ms is not set");
	respond_error(request->req, &err);
	return false;
}

static void get_evacuations(struct admin *admin, struct admin_request *request)
{
	if (has_evacuations(admin, request))
		respond(request->req, 200,
			evacuation_view(admin->node.evacuations, admin->node.settings->name,
					admin->node.settings->failure_domain));
}

/* Returns true if a member's node is in a failure domain. */
static bool is_domain_of_fleet(const struct admin *admin, const char *domain)
{
	for (size_t i = 0; i < member_count(admin->node.members); i++) {
		if (strcmp(member_at(admin->node.members, i)->domain, domain) == 0)
			return true;
	}
	return false;
}

/* Orders (PUT) or withdraws (DELETE) the evacuation of a failure domain. It concerns all services,
 * so a team must have the right to all of them. */
static void change_evacuation(struct admin *admin, struct admin_request *request)
{
	struct evacuation_task_options options = {.platform = admin->node.platform,
						  .table = admin->node.evacuations,
						  .running = &admin->changes,
						  .respond = respond,
						  .respond_error = respond_error};
	const char *domain = request->parts[2];
	bool is_ordered = is_method(request, "PUT");
	struct error err = {0};

	if (!has_evacuations(admin, request))
		return;
	if (admin->closing)
		error_set(&err, ERROR_STATE, "this node is stopping");
	else if (!auth_may_operate(&admin->auth, request->team, "*"))
		error_set(&err, ERROR_DENIED, "team %s has no right to \"*\"", request->team);
	else if (is_ordered && !is_domain_of_fleet(admin, domain))
		error_set(&err, ERROR_NOT_FOUND, "no node is in a failure domain %s", domain);
	else if (evacuation_task_start(&options, request->team, domain, is_ordered, request->req,
				       &err) == 0)
		return;
	respond_error(request->req, &err);
}

struct admin_route {
	const char *method;
	const char *parts[PATH_PARTS_MAX + 1];
	void (*fn)(struct admin *admin, struct admin_request *request);
};

static const struct admin_route routes[] = {
	{"GET", {"v1", "services", NULL}, get_services},
	{"GET", {"v1", "services", "*", NULL}, get_service},
	{"GET", {"v1", "services", "*", "classes", "*", NULL}, get_service},
	{"PUT", {"v1", "services", "*", NULL}, change_service},
	{"DELETE", {"v1", "services", "*", NULL}, change_service},
	{"PUT", {"v1", "services", "*", "classes", "*", NULL}, change_service},
	{"DELETE", {"v1", "services", "*", "classes", "*", NULL}, change_service},
	{"GET", {"v1", "versions", NULL}, get_versions},
	{"GET", {"v1", "customers", NULL}, get_customers},
	{"GET", {"v1", "versions", "*", NULL}, get_version},
	{"GET", {"v1", "status", NULL}, get_status},
	{"GET", {"v1", "members", NULL}, get_members},
	{"GET", {"v1", "counters", NULL}, get_counters},
	{"GET", {"v1", "report", NULL}, get_report},
	{"POST", {"v1", "drain", NULL}, post_drain},
	{"GET", {"v1", "evacuations", NULL}, get_evacuations},
	{"PUT", {"v1", "evacuations", "*", NULL}, change_evacuation},
	{"DELETE", {"v1", "evacuations", "*", NULL}, change_evacuation},
};

static const struct admin_route *find_route(const struct admin_request *request)
{
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (is_method(request, routes[i].method) && is_path(request, routes[i].parts))
			return &routes[i];
	}
	return NULL;
}

/* Checks the key and body size of a request, and finds its route. */
static int check_request(struct admin *admin, struct admin_request *request,
			 const struct admin_route **route, struct error *err)
{
	h2o_iovec_t key = header(request->req, "x-fescue-key");

	if (auth_check(&admin->auth, key.base, key.len, clock_monotonic_us(), &request->team, err))
		return -1;
	if (request->req->entity.len > BODY_BYTES_MAX)
		return error_set(err, ERROR_TOO_LARGE, "found %zu bytes, allowed %zu",
				 request->req->entity.len, BODY_BYTES_MAX);
	if (split_path(request, err))
		return -1;
	*route = find_route(request);
	if (!*route)
		return error_set(err, ERROR_NOT_FOUND, "no such path or method");
	return 0;
}

static void on_request(void *user, h2o_req_t *req)
{
	struct admin *admin = user;
	struct admin_request request = {.req = req};
	const struct admin_route *route;
	struct error err;

	counter_add(COUNTER_ADMIN_REQUESTS, 1);
	if (h2o_memis(req->path_normalized.base, req->path_normalized.len,
		      H2O_STRLIT("/metrics"))) {
		get_metrics(req);
		return;
	}
	if (check_request(admin, &request, &route, &err)) {
		respond_error(req, &err);
		return;
	}
	route->fn(admin, &request);
}

/* Opens the administration API. Errors: those of http_server_open(). */
int admin_open(struct admin **out, uv_loop_t *loop, const struct admin_node *node,
	       struct error *err)
{
	struct admin *admin = calloc(1, sizeof(*admin));
	struct http_server_options options = {.ip = node->settings->admin_address.ip,
					      .port = node->settings->admin_address.port,
					      .body_bytes_max = RECEIVED_BODY_BYTES_MAX,
					      .idle_ms = IDLE_MS,
					      .on_request = on_request,
					      .user = admin};

	if (!admin)
		return error_set(err, ERROR_MEMORY, "no memory for the administration API");
	admin->node = *node;
	admin->loop = loop;
	auth_init(&admin->auth, node->settings, clock_monotonic_us());
	random_seed(&admin->rng, clock_wall_us() ^ member_id_of(node->settings->name));
	if (http_server_open(&admin->server, loop, &options, err)) {
		free(admin);
		return -1;
	}
	*out = admin;
	return 0;
}

/* Returns the port that the API listens on. */
uint16_t admin_port(const struct admin *admin)
{
	return http_server_port(admin->server);
}

/* Stops listening; each open connection closes after the answer in progress. */
void admin_close(struct admin *admin)
{
	if (!admin)
		return;
	admin->closing = true;
	http_server_drain(admin->server);
	http_server_detach(admin->server);
}

/* Returns the number of changes in progress; the platform client must outlive them. */
uint32_t admin_change_count(const struct admin *admin)
{
	return admin->changes;
}

/* Frees a closed API; its connections and changes must have ended. */
void admin_free(struct admin *admin)
{
	if (!admin)
		return;
	http_server_free(admin->server);
	free(admin);
}

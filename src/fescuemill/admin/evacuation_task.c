/*
 * Evacuation task: the store's calls of one order or withdrawal. A task runs to its end even if the
 * operator's connection breaks.
 */
#include "fescuemill/admin/evacuation_task.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ORDER_VALUE    "{}"
#define TEAM_LOG_BYTES 64

struct evacuation_task {
	struct evacuation_task_options options;
	struct evacuation change; /* its version is that of the object, once known */
	char team[TEAM_LOG_BYTES];
	h2o_req_t *req;		       /* NULL once its connection is closed */
	struct evacuation_task **link; /* pointer to this task in the pool of req */
};

/* Called by h2o when the request was answered or its connection broke. */
static void on_request_gone(void *memory)
{
	struct evacuation_task *task = *(struct evacuation_task **)memory;

	if (task)
		task->req = NULL;
}

/* Frees a task and unlinks it from its request, which the caller must still answer if it is not
 * NULL. */
static h2o_req_t *task_free(struct evacuation_task *task)
{
	h2o_req_t *req = task->req;

	if (req)
		*task->link = NULL;
	(*task->options.running)--;
	free(task);
	return req;
}

static void finish_error(struct evacuation_task *task, const struct error *err)
{
	void (*respond_error)(h2o_req_t *, const struct error *) = task->options.respond_error;
	h2o_req_t *req;

	log_failure(LOG_WARNING, LOG_PART_ADMIN,
		    "An order of an evacuation, or its withdrawal, failed.", err);
	req = task_free(task);
	if (req)
		respond_error(req, err);
}

/* Reports that the store has the order, or no longer has it. A version of 0 is not known. */
static void finish_accepted(struct evacuation_task *task, uint64_t version)
{
	void (*respond)(h2o_req_t *, int, json_t *) = task->options.respond;
	json_t *view =
		json_pack("{s:s, s:b, s:I}", "failure_domain", task->change.domain, "ordered",
			  task->change.is_ordered, "version", (json_int_t)version);
	h2o_req_t *req;

	log_write(LOG_WARNING, LOG_PART_ADMIN,
		  task->change.is_ordered ? "The store accepted the order of an evacuation."
					  : "The store accepted the withdrawal of an evacuation.",
		  "domain=%s version=%" PRIu64 " team=%s", task->change.domain, version,
		  task->team);
	task->change.version = version;
	if (version)
		evacuation_apply(task->options.table, &task->change, "operator",
				 clock_monotonic_us());
	req = task_free(task);
	if (req)
		respond(req, 200, view);
	else
		json_decref(view);
}

/* Handles the result of the last call: a create, an update or a delete. */
static void on_written(void *user, const struct platform_result *result)
{
	struct evacuation_task *task = user;

	if (result->err.kind)
		finish_error(task, &result->err);
	else
		finish_accepted(task, result->version > task->change.version ? result->version : 0);
}

/* Starts a call that changes the object. */
static void write_object(struct evacuation_task *task, enum platform_call_type type)
{
	struct platform_request request = {.type = type,
					   .kind = EVACUATION_KIND,
					   .name = task->change.domain,
					   .version = task->change.version};

	if (type != PLATFORM_DELETE) {
		request.value = ORDER_VALUE;
		request.value_size = strlen(ORDER_VALUE);
	}
	platform_start(task->options.platform, &request, on_written, task);
}

/* Returns true if the object that was read is an order. */
static bool is_order(const struct platform_result *result)
{
	json_t *value = json_loadb(result->body, result->body_size, 0, NULL);
	bool is_order = json_is_object(value) && json_object_size(value) == 0;

	json_decref(value);
	return is_order;
}

/* Handles the object as it is in the store. */
static void on_read(void *user, const struct platform_result *result)
{
	struct evacuation_task *task = user;

	if (result->err.kind && result->err.kind != ERROR_NOT_FOUND) {
		finish_error(task, &result->err);
		return;
	}
	task->change.version = result->err.kind ? 0 : result->version;
	if (result->err.kind && task->change.is_ordered)
		write_object(task, PLATFORM_CREATE);
	else if (result->err.kind)
		finish_accepted(task, 0);
	else if (!task->change.is_ordered)
		write_object(task, PLATFORM_DELETE);
	else if (is_order(result))
		finish_accepted(task, result->version);
	else
		write_object(task, PLATFORM_UPDATE);
}

int evacuation_task_start(const struct evacuation_task_options *options, const char *team,
			  const char *domain, bool is_ordered, h2o_req_t *req, struct error *err)
{
	struct platform_request request = {.type = PLATFORM_GET, .kind = EVACUATION_KIND};
	struct evacuation_task *task;

	if (!evacuation_is_name(domain))
		return error_set(err, ERROR_RANGE, "failure domain: allowed are 1 to %d bytes",
				 DOMAIN_NAME_BYTES - 1);
	task = calloc(1, sizeof(*task));
	if (!task)
		return error_set(err, ERROR_MEMORY, "no memory for a change");
	task->options = *options;
	memcpy(task->change.domain, domain, strlen(domain));
	task->change.is_ordered = is_ordered;
	strncpy(task->team, team, sizeof(task->team) - 1);
	task->req = req;
	task->link =
		h2o_mem_alloc_shared(&req->pool, sizeof(struct evacuation_task *), on_request_gone);
	*task->link = task;
	(*options->running)++;
	request.name = task->change.domain;
	platform_start(options->platform, &request, on_read, task);
	return 0;
}

json_t *evacuation_view(const struct evacuation_table *table, const char *node_name,
			const char *own_domain)
{
	json_t *list = json_array();
	char text[EVACUATIONS_MAX * DOMAIN_NAME_BYTES] = "";
	size_t used = 0;

	for (uint32_t i = 0; i < table->count; i++) {
		const struct evacuation *known = &table->list[i].known;

		json_array_append_new(list,
				      json_pack("{s:s, s:I, s:b}", "failure_domain", known->domain,
						"version", (json_int_t)known->version, "ordered",
						known->is_ordered));
		if (!known->is_ordered)
			continue;
		used += (size_t)snprintf(text + used, sizeof(text) - used, "%s%s", used ? "," : "",
					 known->domain);
	}
	return json_pack("{s:s, s:s, s:b, s:b, s:s, s:o}", "name", node_name, "failure_domain",
			 own_domain, "evacuated", evacuation_is_ordered(table, own_domain), "known",
			 table->is_current, "evacuations", text[0] ? text : "-", "list", list);
}

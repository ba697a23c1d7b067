/*
 * Change task: the steps of one change. A task runs to its end even if the operator's connection
 * breaks; the operator can then find the change id in the object's history to see if it was made.
 */
#include "fescuemill/admin/change_task.h"

#include "fescuemill/base/log.h"
#include "fescuemill/store/submit.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

struct change_task {
	struct change_task_options options;
	struct edit edit;
	h2o_req_t *req;		   /* HTTP request; NULL once its connection is closed */
	struct change_task **link; /* pointer to this task in the pool of req; cleared at its end */
	struct service_object base; /* the object that the edit is applied to */
	bool has_base;		    /* the service exists */
	uint64_t base_version;
};

/* Called by h2o when the request was answered or its connection broke. */
static void on_request_gone(void *memory)
{
	struct change_task *task = *(struct change_task **)memory;

	if (task)
		task->req = NULL;
}

/* Frees a task and unlinks it from its request, which the caller must still answer if `req` is set.
 */
static void task_free(struct change_task *task)
{
	if (task->req)
		*task->link = NULL;
	(*task->options.running)--;
	free(task);
}

static void finish_error(struct change_task *task, const struct error *err)
{
	void (*respond_error)(h2o_req_t *, const struct error *) = task->options.respond_error;
	h2o_req_t *req = task->req;

	log_failure(LOG_INFO, LOG_PART_ADMIN, "A change of the configuration failed.", err);
	task_free(task);
	if (req)
		respond_error(req, err);
}

static void finish_accepted(struct change_task *task, uint64_t version)
{
	json_t *view = json_pack("{s:s, s:I, s:s}", "service", task->edit.service, "version",
				 (json_int_t)version, "change", task->edit.change.id);
	void (*respond)(h2o_req_t *, int, json_t *) = task->options.respond;
	h2o_req_t *req = task->req;

	log_write(LOG_INFO, LOG_PART_ADMIN, "A change of the configuration was accepted.",
		  "service=%s version=%" PRIu64 " change=%s by=%s", task->edit.service, version,
		  task->edit.change.id, task->edit.change.by);
	task_free(task);
	if (req)
		respond(req, 200, view);
	else
		json_decref(view);
}

/* Puts an accepted change in force at this node without waiting for the platform's watch to report
 * it. */
static void apply_here(struct change_task *task, const struct submit_result *result)
{
	struct config_store *config = task->options.config;
	char *json;
	size_t size;

	if (!result->object) {
		config_apply_deletion(config, task->edit.service, result->version);
		return;
	}
	if (service_write(result->object, &json, &size, NULL))
		return;
	config_apply_object(config, task->edit.service, result->version, json, size, NULL);
	free(json);
}

static void on_submitted(void *user, const struct submit_result *result)
{
	struct change_task *task = user;

	if (result->step != CHANGE_ACCEPTED) {
		finish_error(task, &result->err);
		return;
	}
	if (result->exact)
		apply_here(task, result);
	finish_accepted(task, result->version);
}

/* Applies the edit to the object that was read and submits the result. A change that already took
 * effect is reported as accepted. */
static void submit(struct change_task *task)
{
	const struct service_object *base = task->has_base ? &task->base : NULL;
	bool deletes = task->edit.type == EDIT_DELETE_SERVICE;
	struct service_object next;
	struct error err;

	if (edit_is_applied(&task->edit, base)) {
		finish_accepted(task, task->base_version);
		return;
	}
	if (edit_apply(&task->edit, task->options.auth, base, task->base_version, &next, &err) ||
	    submit_start(task->options.loop, task->options.platform, base, task->base_version,
			 deletes ? NULL : &next, task->edit.change.id, on_submitted, task, &err))
		finish_error(task, &err);
}

static void on_read(void *user, const struct platform_result *result)
{
	struct change_task *task = user;
	struct error err;

	if (result->err.kind == ERROR_NOT_FOUND) {
		submit(task);
		return;
	}
	if (result->err.kind) {
		finish_error(task, &result->err);
		return;
	}
	if (service_parse(result->body, result->body_size, &task->base, &err)) {
		finish_error(task, &err);
		return;
	}
	task->has_base = true;
	task->base_version = result->version;
	submit(task);
}

/* Starts a task, which answers the request once, unless its connection is closed by then.
 * Errors: ERROR_MEMORY; the request is then not answered. */
int change_task_start(const struct change_task_options *options, const struct edit *edit,
		      h2o_req_t *req, struct error *err)
{
	struct platform_request request = {
		.type = PLATFORM_GET, .kind = CONFIG_KIND, .name = edit->service};
	struct change_task *task = calloc(1, sizeof(*task));

	if (!task)
		return error_set(err, ERROR_MEMORY, "no memory for a change");
	task->options = *options;
	task->edit = *edit;
	task->req = req;
	task->link =
		h2o_mem_alloc_shared(&req->pool, sizeof(struct change_task *), on_request_gone);
	*task->link = task;
	(*options->running)++;
	platform_start(options->platform, &request, on_read, task);
	return 0;
}

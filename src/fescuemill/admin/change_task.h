/*
 * Change task: carries out one change requested by an operator. Reads the service from the
 * platform, applies the edit, submits the result, puts the accepted object in force at this node
 * and answers.
 */
#ifndef FESCUEMILL_ADMIN_CHANGE_TASK_H
#define FESCUEMILL_ADMIN_CHANGE_TASK_H

#include "fescuemill/admin/edit.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/store/platform.h"

#include <h2o.h>
#include <jansson.h>

struct change_task_options {
	uv_loop_t *loop;
	struct platform *platform;
	struct config_store *config;
	const struct auth *auth;
	uint32_t *running; /* number of running tasks, which each task keeps up to date */
	void (*respond)(h2o_req_t *req, int status, json_t *view);
	void (*respond_error)(h2o_req_t *req, const struct error *err);
};

/* Starts a task, which answers the request once, unless its connection is closed by then.
 * Errors: ERROR_MEMORY; the request is then not answered. */
int change_task_start(const struct change_task_options *options, const struct edit *edit,
		      h2o_req_t *req, struct error *err);

#endif

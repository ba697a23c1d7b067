/*
 * Evacuation task: writes an order to evacuate a failure domain to the platform's store, or
 * withdraws it, for one request to the administration API.
 */
#ifndef FESCUEMILL_ADMIN_EVACUATION_TASK_H
#define FESCUEMILL_ADMIN_EVACUATION_TASK_H

#include "fescuemill/fleet/evacuation.h"
#include "fescuemill/store/platform.h"

#include <h2o.h>

struct evacuation_task_options {
	struct platform *platform;
	struct evacuation_table *table; /* of this node: the change is in force here at once */
	uint32_t *running;		/* number of tasks in progress */
	void (*respond)(h2o_req_t *req, int status, json_t *view);
	void (*respond_error)(h2o_req_t *req, const struct error *err);
};

/* Starts a task, which answers the request once, unless its connection is closed by then. To order
 * what is ordered, or to withdraw what is not, succeeds. Errors: ERROR_RANGE, ERROR_MEMORY; the
 * request is then not answered. */
int evacuation_task_start(const struct evacuation_task_options *options, const char *team,
			  const char *domain, bool is_ordered, h2o_req_t *req, struct error *err);
/* Returns what a node knows of evacuations, for GET /v1/evacuations. */
json_t *evacuation_view(const struct evacuation_table *table, const char *node_name,
			const char *own_domain);

#endif

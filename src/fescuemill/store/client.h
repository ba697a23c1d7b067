/*
 * Client: implements the platform interface over HTTP.
 */
#ifndef FESCUEMILL_STORE_CLIENT_H
#define FESCUEMILL_STORE_CLIENT_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/settings/settings_defs.h"
#include "fescuemill/store/dialect.h"

#include <uv.h>

/* Opens a client for the endpoints in the settings; platform_close() closes it. All calls are
 * charged to the budget, which must outlive the client. Errors: ERROR_MEMORY. */
int platform_client_open(struct platform **out, uv_loop_t *loop, const struct settings *settings,
			 const struct store_dialect *dialect, struct budget *budget,
			 struct error *err);

#endif

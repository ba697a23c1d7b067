/*
 * Client: the platform interface over HTTP.
 */
#ifndef FESCUEMILL_PLATFORM_CLIENT_H
#define FESCUEMILL_PLATFORM_CLIENT_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/platform/platform.h"
#include "fescuemill/settings/settings_defs.h"

#include <uv.h>

struct platform_client;

/* The budget is charged with all calls and outlives the client. */
int platform_client_open(struct platform_client **out, uv_loop_t *loop,
			 const struct settings *settings, struct budget *budget, struct error *err);
struct platform *platform_client_interface(struct platform_client *client);
/* Whether calls count as crossing the link between regions. */
bool platform_client_crosses_link(const struct platform_client *client);
void platform_client_close(struct platform_client *client);

#endif

/*
 * Client: the platform interface over HTTP.
 */
#ifndef FESCUEMILL_PLATFORM_CLIENT_H
#define FESCUEMILL_PLATFORM_CLIENT_H

#include "fescuemill/platform/platform.h"
#include "fescuemill/settings/settings_defs.h"

#include <uv.h>

struct platform_client;

int platform_client_open(struct platform_client **out, uv_loop_t *loop,
			 const struct settings *settings, struct error *err);
struct platform *platform_client_interface(struct platform_client *client);
void platform_client_close(struct platform_client *client);

#endif

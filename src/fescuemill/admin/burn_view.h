/*
 * Burn view: the burn tables of a node as the JSON of GET /v1/report.
 */
#ifndef FESCUEMILL_ADMIN_BURN_VIEW_H
#define FESCUEMILL_ADMIN_BURN_VIEW_H

#include "fescuemill/decide/burn.h"
#include "fescuemill/fleet/config.h"

#include <jansson.h>

#define BURN_SHORT_WINDOW_S 300
#define BURN_LONG_WINDOW_S  3600

/* Returns malloc'ed JSON text, or NULL if out of memory. "target" is null for a class that has no
 * target in force. */
char *burn_view_text(const struct burn_tables *tables, const struct config_store *config,
		     const char *name, uint64_t now_us);

#endif

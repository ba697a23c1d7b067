/*
 * Fuzz target: settings, service objects and rosters from the platform. Each input either parses or
 * returns an error with a kind.
 */
#include "fescuemill/fleet/roster.h"
#include "fescuemill/fleet/service_json.h"
#include "fescuemill/settings/settings.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Aborts if a failure has no error kind. */
static void check(int status, const struct error *err)
{
	if (status != 0 && err->kind == ERROR_NONE)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct settings settings;
	static struct service_object object;
	struct roster roster = {0};
	struct error err = {0};

	check(settings_parse((const char *)data, size, "fuzz", &settings, &err), &err);
	error_clear(&err);
	check(service_parse((const char *)data, size, &object, &err), &err);
	error_clear(&err);
	check(roster_parse((const char *)data, size, &roster, &err), &err);
	roster_free(&roster);
	return 0;
}

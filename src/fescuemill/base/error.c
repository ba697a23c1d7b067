/*
 * Errors: the name, exit code and HTTP status of each kind.
 */
#include "fescuemill/base/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct kind_info {
	const char *name;
	int exit_code;
	int http_status;
};

static const struct kind_info kinds[ERROR_KIND_COUNT] = {
	[ERROR_NONE] = {"none", 0, 200},
	[ERROR_USAGE] = {"usage", 2, 400},
	[ERROR_SYSTEM] = {"system", 3, 500},
	[ERROR_MEMORY] = {"memory", 4, 503},
	[ERROR_SYNTAX] = {"syntax", 5, 400},
	[ERROR_MISSING] = {"missing", 6, 400},
	[ERROR_UNKNOWN_KEY] = {"unknown_key", 7, 400},
	[ERROR_TYPE] = {"type", 8, 400},
	[ERROR_RANGE] = {"range", 9, 400},
	[ERROR_TRUNCATED] = {"truncated", 10, 400},
	[ERROR_TOO_LARGE] = {"too_large", 11, 413},
	[ERROR_VERSION] = {"version", 12, 400},
	[ERROR_CONFLICT] = {"conflict", 13, 409},
	[ERROR_NOT_FOUND] = {"not_found", 14, 404},
	[ERROR_DENIED] = {"denied", 15, 403},
	[ERROR_LIMIT] = {"limit", 16, 429},
	[ERROR_UNREACHABLE] = {"unreachable", 17, 502},
	[ERROR_TIMEOUT] = {"timeout", 18, 504},
	[ERROR_STATE] = {"state", 19, 409},
	[ERROR_BUDGET] = {"budget", 20, 503},
};

/*
 * Records a failure: its kind, the errno of the failed system call or 0, the name of the failing
 * function, and a detail text, truncated to fit ERROR_DETAIL_BYTES. Does nothing if err is NULL.
 * Always returns -1.
 */
int error_set_at(struct error *err, enum error_kind kind, int system_errno, const char *where,
		 const char *format, ...)
{
	va_list args;

	if (!err)
		return -1;
	err->kind = kind;
	err->system_errno = system_errno;
	err->where = where;
	va_start(args, format);
	vsnprintf(err->detail, sizeof(err->detail), format, args);
	va_end(args);
	return -1;
}

/* Resets err to ERROR_NONE. */
void error_clear(struct error *err)
{
	memset(err, 0, sizeof(*err));
}

/* Returns the lower-case name of a kind, as logs and JSON responses contain it. */
const char *error_kind_name(enum error_kind kind)
{
	if ((unsigned int)kind >= ERROR_KIND_COUNT)
		return "invalid";
	return kinds[kind].name;
}

/* Returns the exit code of a kind, the same in all programs of the project. */
int error_exit_code(enum error_kind kind)
{
	if ((unsigned int)kind >= ERROR_KIND_COUNT)
		return 1;
	return kinds[kind].exit_code;
}

/* Returns the HTTP status of a kind, used by the administration API. */
int error_http_status(enum error_kind kind)
{
	if ((unsigned int)kind >= ERROR_KIND_COUNT)
		return 500;
	return kinds[kind].http_status;
}

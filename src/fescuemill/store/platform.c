/*
 * Platform: functions that all implementations of the interface share.
 */
#include "fescuemill/store/platform.h"

static const char *const call_names[PLATFORM_CALL_COUNT] = {"get",    "list",	"create",
							    "update", "delete", "watch"};

/* Starts a call. Calls done exactly once, possibly before this returns. */
void platform_start(struct platform *platform, const struct platform_request *request,
		    platform_done_fn done, void *user)
{
	platform->ops->start(platform, request, done, user);
}

/* Closes an implementation and frees it. Does nothing if platform is NULL. */
void platform_close(struct platform *platform)
{
	if (platform)
		platform->ops->close(platform);
}

/* Returns the name of a type of call for logs and errors, or "invalid". */
const char *platform_call_name(enum platform_call_type type)
{
	return (unsigned int)type < PLATFORM_CALL_COUNT ? call_names[type] : "invalid";
}

/*
 * Platform: the six calls of the platform's object API behind one narrow interface. The HTTP
 * client (client.h) and the fake of the tests implement it.
 */
#ifndef FESCUEMILL_STORE_PLATFORM_H
#define FESCUEMILL_STORE_PLATFORM_H

#include "fescuemill/base/error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLATFORM_NAME_BYTES  64
#define PLATFORM_VALUE_BYTES ((size_t)1024 * 1024)

enum platform_call_type {
	PLATFORM_GET,
	PLATFORM_LIST,
	PLATFORM_CREATE,
	PLATFORM_UPDATE,
	PLATFORM_DELETE,
	PLATFORM_WATCH,
	PLATFORM_CALL_COUNT,
};

/* One call. The strings need to live only until platform_start returns. */
struct platform_request {
	enum platform_call_type type;
	const char *kind;
	const char *name;	/* get, create, update, delete */
	uint64_t version;	/* update, delete: the expected version; watch: newer than this */
	const char *after_name; /* list: continue after this name; NULL from the start */
	uint32_t wait_ms;	/* watch: how long the platform may hold the call */
	const char *value;	/* create, update: JSON text */
	size_t value_size;
	bool can_wait; /* not sent, ERROR_BUDGET, while the byte budget of measuring is spent */
};

/* The outcome of one call. */
struct platform_result {
	struct error err;    /* kind ERROR_NONE on success */
	bool effect_unknown; /* a change that failed may still have taken or take effect */
	uint64_t version; /* of the object; of the store for list and watch; current on conflict */
	const char *body; /* get: the object's value; list and watch: {"version","items"} */
	size_t body_size;
	bool has_current; /* on conflict: body is the object's value as it stands */
};

/* Called exactly once for each call that was started. The result is valid only during the call. */
typedef void (*platform_done_fn)(void *user, const struct platform_result *result);

struct platform;

struct platform_ops {
	void (*start)(struct platform *platform, const struct platform_request *request,
		      platform_done_fn done, void *user);
	/* Ends all calls that run with ERROR_STATE, and frees the implementation. */
	void (*close)(struct platform *platform);
};

/* The head of every implementation. */
struct platform {
	const struct platform_ops *ops;
	bool crosses_link; /* whether calls count as crossing the link between regions */
};

void platform_start(struct platform *platform, const struct platform_request *request,
		    platform_done_fn done, void *user);
void platform_close(struct platform *platform);
const char *platform_call_name(enum platform_call_type type);

#endif

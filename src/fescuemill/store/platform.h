/*
 * Platform: interface to the six calls of the platform's object API. Implemented by the HTTP client
 * (client.h) and by the fake platform of the tests.
 */
#ifndef FESCUEMILL_STORE_PLATFORM_H
#define FESCUEMILL_STORE_PLATFORM_H

#include "fescuemill/base/error.h"

#include <jansson.h>
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

/* One call. The strings must stay valid until platform_start() returns. */
struct platform_request {
	enum platform_call_type type;
	const char *kind;	/* kind of the object or objects */
	const char *name;	/* get, create, update, delete: name of the object */
	uint64_t version;	/* update, delete: expected version; watch: report newer ones;
				   see store/version.h */
	const char *after_name; /* list: start after this name; NULL: at the first one */
	uint32_t wait_ms;	/* watch: time that the platform may wait for a change */
	const char *value;	/* create, update: JSON text */
	size_t value_size;
	bool can_wait; /* the call fails with ERROR_BUDGET, unsent, if the byte budget is used up */
};

/* The outcome of one call. */
struct platform_result {
	struct error err;    /* kind ERROR_NONE on success */
	bool effect_unknown; /* the failed change may have taken effect or may still do so */
	uint64_t version; /* of the object (conflict: its current one); list, watch: of the store */
	const char *body; /* get: the object's value; list and watch: {"version","items"} */
	size_t body_size;
	json_t *root;	  /* list and watch: the body, parsed, instead of body; NULL: body has it */
	bool has_current; /* on conflict: body is the current value of the object */
};

/* Called exactly once for each call that was started. The result is valid only until it returns. */
typedef void (*platform_done_fn)(void *user, const struct platform_result *result);

struct platform;

struct platform_ops {
	void (*start)(struct platform *platform, const struct platform_request *request,
		      platform_done_fn done, void *user);
	/* Ends all running calls with ERROR_STATE and frees the implementation. */
	void (*close)(struct platform *platform);
};

/* First member of every implementation. */
struct platform {
	const struct platform_ops *ops;
	bool crosses_link; /* calls are charged to the link between regions too */
	/* Number of restores of the store from a copy, as far as this node knows. A call that names
	 * a version of before the latest one fails without being sent. */
	uint64_t restores;
	bool knows_restores; /* an answer has stated the era of the store */
};

void platform_start(struct platform *platform, const struct platform_request *request,
		    platform_done_fn done, void *user);
void platform_close(struct platform *platform);
const char *platform_call_name(enum platform_call_type type);

#endif

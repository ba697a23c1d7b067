/*
 * Types of a plan: the calls that fescue-load sends, their targets and the duration.
 */
#ifndef FESCUE_LOAD_PLAN_DEFS_H
#define FESCUE_LOAD_PLAN_DEFS_H

#include "fescuemill/decide/call_defs.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define PLAN_STREAMS_MAX     64
#define PLAN_TARGETS_MAX     512
#define PLAN_METHOD_BYTES    8
#define PLAN_PATH_BYTES	     128
#define PLAN_ADDRESS_BYTES   32
#define PLAN_CONNECTIONS_MAX 10000
#define PLAN_CALLS_PER_S_MAX 100000.0
#define PLAN_DURATION_MS_MAX (60U * 60 * 1000)
#define PLAN_GRACE_MS_MAX    60000U
#define PLAN_CALLS_MAX	     10000000U
#define PLAN_DEADLINE_MS_MAX 600000U
#define PLAN_IN_FLIGHT_MAX   20000U

/*
 * A stream of calls of one class. Open loop: calls_per_s, with Poisson arrivals. Closed loop:
 * connections, each with one call at a time. Exactly one of the two is above 0.
 */
struct plan_stream {
	char service[SERVICE_NAME_BYTES];
	char class_name[CLASS_NAME_BYTES];
	char method[PLAN_METHOD_BYTES];
	char path[PLAN_PATH_BYTES];
	double calls_per_s;
	uint32_t connections;
	uint32_t body_bytes;
	uint32_t answer_bytes;
	uint32_t deadline_ms;
	double keyed_share;	/* share of calls with an idempotency key, 0 to 1 */
	bool marked_idempotent; /* sends x-fescue-idempotent: POST and PATCH may run repeatedly */
};

struct plan_target {
	char address_text[PLAN_ADDRESS_BYTES];
	struct sockaddr_in address;
	char service[SERVICE_NAME_BYTES]; /* of a backend server; "entry" for an entry */
};

struct plan {
	uint64_t seed;
	uint32_t duration_ms;
	uint32_t grace_ms; /* from the deadline of a call until it counts as lost */
	uint32_t max_calls;
	bool entries_may_fail;	/* a call whose connection closes is unknown, not lost or cut */
	bool backends_may_fail; /* records may be missing, so answered calls may lack executions */
	bool direct;		/* call the backend servers, not the entries */
	uint32_t stream_count;
	uint32_t entry_count;
	uint32_t backend_count;
	struct plan_stream streams[PLAN_STREAMS_MAX];
	struct plan_target entries[PLAN_TARGETS_MAX];
	struct plan_target backends[PLAN_TARGETS_MAX];
};

#endif

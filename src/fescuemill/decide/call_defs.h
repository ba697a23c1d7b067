/*
 * Call types that the decisions, the node messages and the HTTP sides share: identities, outcomes,
 * reasons, classes and their targets.
 */
#ifndef FESCUEMILL_DECIDE_CALL_DEFS_H
#define FESCUEMILL_DECIDE_CALL_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#define NODE_NAME_BYTES	   48 /* with the closing NUL, as all name sizes here */
#define SERVICE_NAME_BYTES 32
#define CLASS_NAME_BYTES   32
#define REGION_NAME_BYTES  32
#define DOMAIN_NAME_BYTES  32
#define KEY_BYTES	   128

#define CLASSES_PER_SERVICE_MAX 16
#define CALL_DEPTH_MAX		20
#define CALL_BODY_BYTES_MAX	(8U << 20)
#define CALL_DEADLINE_US_MAX	(600ULL * 1000 * 1000)

/* The process life of one node: a new one for each start, never reused. */
struct node_life {
	uint64_t node_id; /* hash of the node's name */
	uint64_t incarnation;
};

/* One attempt of one call. Unique for ever: no entry reuses a sequence in one incarnation. */
struct attempt_id {
	struct node_life entry;
	uint64_t sequence;
};

enum call_outcome {
	OUTCOME_ANSWERED, /* ran; the whole answer is here */
	OUTCOME_NOT_RUN,  /* certainly did not run and never will */
	OUTCOME_UNKNOWN,  /* may have run */
	OUTCOME_COUNT,
};

enum call_reason {
	REASON_NONE,
	REASON_OVERLOAD,	/* no slot or queue place in time */
	REASON_DRAINING,	/* the backend server or node is leaving */
	REASON_EXPIRED,		/* the deadline passed, or cannot be met */
	REASON_NO_BACKEND,	/* no backend server of the service is known or ready */
	REASON_SHED,		/* the backend server itself refused, unrun */
	REASON_CANCELLED,	/* the caller went away or cancelled */
	REASON_BAD_REQUEST,	/* the request cannot be understood */
	REASON_UNKNOWN_SERVICE, /* no such service in the accepted configuration */
	REASON_UNKNOWN_CLASS,	/* no such class in the service */
	REASON_TOO_LARGE,	/* the body is over the cap */
	REASON_TOO_DEEP,	/* the call tree is deeper than CALL_DEPTH_MAX */
	REASON_RETRY_BUDGET,	/* another attempt would be over the retry budget */
	REASON_INCARNATION,	/* meant for an earlier life of the gate */
	REASON_STALE_EPOCH,	/* came over a connection that was replaced */
	REASON_CONNECTION_LOST, /* the connection broke while it may have been running */
	REASON_KEY_RUNNING,	/* the same idempotency key is running elsewhere */
	REASON_KEY_HISTORY,	/* the key's history cannot be known any more */
	REASON_NOT_READY,	/* the node has no accepted configuration yet */
	REASON_COUNT,
};

/* An amount that no class reaches, for classes whose operators state none: all calls are in
 * profile, so that rank and objective alone order them. */
#define CLASS_CALLS_UNSTATED	      1000000U
#define CLASS_PERCENTILE_UNSTATED_X10 990U

/* What operators state for a class of work. */
struct class_target {
	char name[CLASS_NAME_BYTES];
	uint32_t rank;		 /* how urgent: 0 is the most urgent, 15 the least */
	uint32_t latency_us;	 /* how fast: the latency to keep ... */
	uint32_t percentile_x10; /* ... for this share of calls, in tenths of a percent */
	uint32_t calls_per_s;	 /* how much: fleet-wide; above it calls are out of profile */
};

/* The classes of one service, as accepted by the platform at one version. */
struct service_config {
	char service[SERVICE_NAME_BYTES];
	uint64_t version;
	uint32_t class_count;
	struct class_target classes[CLASSES_PER_SERVICE_MAX];
};

const char *call_outcome_name(enum call_outcome outcome);
const char *call_reason_name(enum call_reason reason);
bool attempt_id_equal(const struct attempt_id *a, const struct attempt_id *b);

#endif

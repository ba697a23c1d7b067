/*
 * Call types shared by the decision modules, the messages between nodes and the HTTP code:
 * attempt identities, outcomes, reasons, classes and their targets.
 */
#ifndef FESCUEMILL_DECIDE_CALL_DEFS_H
#define FESCUEMILL_DECIDE_CALL_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#define NODE_NAME_BYTES	   48 /* sizes of names include the terminating NUL */
#define SERVICE_NAME_BYTES 256
#define CLASS_NAME_BYTES   32
#define REGION_NAME_BYTES  32
#define DOMAIN_NAME_BYTES  32
#define KEY_BYTES	   128

#define CLASSES_PER_SERVICE_MAX 16
#define CLASS_RANK_MAX		15 /* the least urgent */
#define CALL_DEPTH_MAX		20
#define CALL_BODY_BYTES_MAX	(8U << 20)  /* of a body in one message between nodes */
#define CALL_PIECED_BYTES_MAX	(64U << 20) /* of a request body in pieces */
#define CALL_DEADLINE_US_MAX	(600ULL * 1000 * 1000)

/* Identifies one process of a node. Each start of the node gets a new incarnation,
 * which is never reused. */
struct node_incarnation {
	uint64_t node_id; /* hash of the node's name */
	uint64_t incarnation;
};

/* Identifies one attempt of one call. Never reused: an entry uses each sequence number only once in
 * an incarnation. */
struct attempt_id {
	struct node_incarnation entry;
	uint64_t sequence;
};

enum call_outcome {
	OUTCOME_ANSWERED, /* ran; the complete answer was received */
	OUTCOME_NOT_RUN,  /* did not run and never will */
	OUTCOME_UNKNOWN,  /* may have run */
	OUTCOME_COUNT,
};

enum call_reason {
	REASON_NONE,
	REASON_OVERLOAD,	/* no slot or queue position was free in time */
	REASON_DRAINING,	/* the backend server or node is leaving */
	REASON_EXPIRED,		/* the deadline has passed or cannot be met */
	REASON_NO_BACKEND,	/* no known backend server of the service is ready */
	REASON_SHED,		/* the backend server refused the call without running it */
	REASON_CANCELLED,	/* the caller cancelled the call or disconnected */
	REASON_BAD_REQUEST,	/* the request is malformed */
	REASON_UNKNOWN_SERVICE, /* the accepted configuration lacks the service */
	REASON_UNKNOWN_CLASS,	/* the service has no such class */
	REASON_TOO_LARGE,	/* the body is larger than allowed */
	REASON_TOO_DEEP,	/* the call tree is deeper than CALL_DEPTH_MAX */
	REASON_RETRY_BUDGET,	/* another attempt would exceed the retry budget */
	REASON_INCARNATION,	/* addressed to another incarnation of the node */
	REASON_STALE_EPOCH,	/* received over a connection that was replaced */
	REASON_CONNECTION_LOST, /* the connection was lost; the attempt may have run */
	REASON_KEY_RUNNING,	/* another call with the same idempotency key is running */
	REASON_KEY_HISTORY,	/* earlier calls with the same key are no longer known */
	REASON_NOT_READY,	/* the node has not accepted a configuration yet */
	REASON_REGION,		/* no region that the call may be served in has a server */
	REASON_EVACUATED,	/* the backend server's failure domain is being evacuated */
	REASON_COLD,		/* the cold backend server bears no further call now */
	REASON_UNKNOWN_KEY,	/* the request's key is missing or belongs to no customer */
	REASON_KEYS_STALE,	/* the node cannot show that its customers' keys are current */
	REASON_ALLOTMENT,	/* the customer's allotment is used up */
	REASON_CRASHES,		/* backend servers end whenever they run the request */
	REASON_COUNT,
};

/* Rate, in calls per second, and percentile of a class without configured ones. No class reaches
 * this rate, so all calls are in profile and are ordered by rank and latency objective alone. */
#define CLASS_CALLS_PER_S_UNSET	   1000000U
#define CLASS_PERCENTILE_UNSET_X10 990U

/* The target that operators configure for a class of calls. */
struct class_target {
	char name[CLASS_NAME_BYTES];
	uint32_t rank;		 /* priority: 0 is the most urgent, 15 the least */
	uint32_t latency_us;	 /* latency objective */
	uint32_t percentile_x10; /* share of calls to meet it, in tenths of a percent */
	uint32_t calls_per_s;	 /* fleet-wide rate; calls above it are out of profile */
};

/* The classes of one service in one version of the configuration that the platform accepted. */
struct service_config {
	char service[SERVICE_NAME_BYTES];
	uint64_t version;
	uint32_t class_count;
	struct class_target classes[CLASSES_PER_SERVICE_MAX];
};

const char *call_outcome_name(enum call_outcome outcome);
const char *call_reason_name(enum call_reason reason);
bool call_reason_is_lack_of_room(enum call_reason reason);
bool attempt_id_equal(const struct attempt_id *a, const struct attempt_id *b);

#endif

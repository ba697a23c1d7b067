/*
 * Session: the decisions of one follower of the platform: when to list, watch, back off and read
 * again. Pure: no socket, no clock.
 */
#ifndef FESCUEMILL_STORE_SESSION_H
#define FESCUEMILL_STORE_SESSION_H

#include "fescuemill/base/random.h"
#include "fescuemill/chart/chart_defs.h"

#include <stdbool.h>
#include <stdint.h>

#define SESSION_BACKOFF_FIRST_US   (200ULL * 1000)
#define SESSION_BACKOFF_HIGHEST_US (10ULL * 1000 * 1000)
#define SESSIONS_PER_NODE	   3 /* services, rosters, this node's own writes */

struct session_limits {
	uint64_t backoff_first_us;
	uint64_t backoff_highest_us;
	uint32_t calls_per_minute; /* of this node; watches count */
	uint32_t watch_ms;
};

/* The state follows charts/platform_session.json, which charts_load() must have read. */
struct session {
	struct session_limits limits;
	uint32_t state; /* enum platform_session_state */
	bool on;
	bool in_call;
	bool list_needed;
	uint64_t version;
	uint32_t failures; /* in a row */
	uint64_t not_before_us;
	double tokens;
	uint64_t tokens_at_us;
	struct random rng;
};

enum session_action_type {
	SESSION_DO_NOTHING,
	SESSION_DO_LIST,
	SESSION_DO_WATCH,
	SESSION_DO_WAIT, /* ask again at wait_until_us */
};

struct session_action {
	enum session_action_type type;
	uint64_t after;
	uint32_t wait_ms; /* watch: how long the platform may hold it */
	uint64_t wait_until_us;
	bool over_budget; /* the wait is for the call budget */
};

struct session_limits session_limits_for(uint32_t domain_calls_per_minute, uint32_t sharing_nodes,
					 uint32_t watch_ms);
uint64_t session_backoff_us(const struct session_limits *limits, uint32_t failures,
			    struct random *rng);
void session_init(struct session *session, const struct session_limits *limits, uint64_t seed,
		  uint64_t now_us);
void session_set_on(struct session *session, bool on);
void session_refresh(struct session *session);
struct session_action session_next(struct session *session, uint64_t now_us);
void session_succeeded(struct session *session, uint64_t version);
void session_failed(struct session *session, uint64_t now_us);
void session_forgotten(struct session *session, uint64_t now_us);
void session_put_off(struct session *session, uint64_t now_us);

#endif

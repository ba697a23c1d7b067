/*
 * Session: decides for one list-and-watch of the platform's store when to list, watch, back off and
 * list again. No I/O and no clock of its own.
 */
#ifndef FESCUEMILL_STORE_SESSION_H
#define FESCUEMILL_STORE_SESSION_H

#include "fescuemill/base/random.h"
#include "fescuemill/chart/chart_defs.h"

#include <stdbool.h>
#include <stdint.h>

#define SESSION_BACKOFF_INITIAL_US (200ULL * 1000)
#define SESSION_BACKOFF_MAX_US	   (10ULL * 1000 * 1000)
#define SESSIONS_PER_NODE	   3 /* services, rosters, this node's writes */

struct session_limits {
	uint64_t backoff_initial_us;
	uint64_t backoff_max_us;
	uint32_t calls_per_minute; /* call budget of this session; watches count */
	uint32_t watch_ms;	   /* time that the platform may hold a watch */
};

/* The state follows charts/platform_session.json. Requires charts_load(). */
struct session {
	struct session_limits limits;
	uint32_t state;		     /* enum platform_session_state */
	bool is_enabled;	     /* while disabled, no calls are started */
	bool in_call;		     /* a call is running whose answer is used */
	bool list_needed;	     /* the next call is a list, not a watch */
	uint64_t version;	     /* of the store, from the latest answer */
	uint32_t failures;	     /* consecutive failed or postponed calls */
	uint64_t not_before_us;	     /* end of the back-off; 0: none */
	double tokens;		     /* call budget: calls that may start now */
	uint64_t tokens_refilled_us; /* time of the latest refill of tokens */
	struct random rng;
};

enum session_action_type {
	SESSION_DO_NOTHING,
	SESSION_DO_LIST,
	SESSION_DO_WATCH,
	SESSION_DO_WAIT, /* call session_next() again at wait_until_us */
};

struct session_action {
	enum session_action_type type;
	uint64_t after;	  /* watch: report changes after this version; list: 0 */
	uint32_t wait_ms; /* watch: time that the platform may hold it */
	uint64_t wait_until_us;
	bool over_budget; /* the wait is for the call budget, not for a back-off */
};

struct session_limits session_limits_for(uint32_t domain_calls_per_minute, uint32_t sharing_nodes,
					 uint32_t watch_ms);
uint64_t session_backoff_us(const struct session_limits *limits, uint32_t failures,
			    struct random *rng);
void session_init(struct session *session, const struct session_limits *limits, uint64_t seed,
		  uint64_t now_us);
void session_set_enabled(struct session *session, bool is_enabled);
void session_refresh(struct session *session);
struct session_action session_next(struct session *session, uint64_t now_us);
void session_succeeded(struct session *session, uint64_t version);
void session_failed(struct session *session, uint64_t now_us);
void session_history_lost(struct session *session, uint64_t now_us);
void session_postpone(struct session *session, uint64_t now_us);

#endif

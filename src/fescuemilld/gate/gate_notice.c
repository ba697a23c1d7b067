/*
 * Notices of the backend server.
 */
#include "fescuemilld/gate/gate_notice.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/gate/gate_admission.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Sets the limit on the calls of the backend server. */
static void set_limit(struct gate_shell *shell, uint32_t rate_milli, const char *source)
{
	struct server_notice *notice = &shell->notice;

	if (notice->has_rate_limit && notice->rate_limit_milli == rate_milli)
		return;
	notice->has_rate_limit = true;
	notice->rate_limit_milli = rate_milli;
	counter_set(COUNTER_GATE_RATE_LIMIT, rate_milli);
	log_write(LOG_INFO, LOG_PART_GATE, "The backend server limits the rate of its calls.",
		  "calls_per_1000s=%u source=%s", rate_milli, source);
	gate_admission_set_rate_limit(shell, rate_milli);
}

/* Removes the limit on the calls of the backend server. */
static void clear_limit(struct gate_shell *shell)
{
	if (!shell->notice.has_rate_limit)
		return;
	shell->notice.has_rate_limit = false;
	counter_set(COUNTER_GATE_RATE_LIMIT, 0);
	log_write(LOG_INFO, LOG_PART_GATE, "The backend server no longer limits its calls.", NULL);
	gate_admission_clear_rate_limit(shell);
}

/* Records that the backend server is leaving, and reports it. */
static void set_leaving(struct gate_shell *shell, const char *source)
{
	if (shell->notice.is_leaving)
		return;
	shell->notice.is_leaving = true;
	log_write(LOG_INFO, LOG_PART_GATE, "The backend server is leaving.", "source=%s", source);
	if (shell->options.on_leaving)
		shell->options.on_leaving(shell->options.user, shell->notice.started_ms);
}

/* Applies the limit that an answer states. A value that is not a rate leaves the limit as it is. */
static void apply_rate(struct gate_shell *shell, const struct backend_notice *stated,
		       const char *source)
{
	if (stated->rate == BACKEND_RATE_STATED) {
		set_limit(shell, stated->rate_milli, source);
	} else if (stated->rate == BACKEND_RATE_INVALID && !shell->has_logged_bad_rate) {
		shell->has_logged_bad_rate = true;
		log_write(LOG_WARNING, LOG_PART_GATE,
			  "The backend server states a limit that is not a rate; it is ignored.",
			  NULL);
	}
}

/* Applies what an answer to a call states. */
void gate_notice_record(struct gate_shell *shell, const struct backend_answer *answer)
{
	if (answer->end != BACKEND_END_ANSWERED && answer->end != BACKEND_END_REFUSED)
		return;
	shell->has_heard_server = true;
	apply_rate(shell, &answer->notice, "answer");
	if (answer->notice.rate == BACKEND_RATE_NONE)
		clear_limit(shell);
	if (answer->notice.is_leaving)
		set_leaving(shell, "answer");
}

/* Applies what a health check states. */
void gate_notice_record_probe(struct gate_shell *shell, const struct backend_answer *answer)
{
	if (answer->end != BACKEND_END_ANSWERED || shell->backend.state == BACKEND_NONE)
		return;
	apply_rate(shell, &answer->notice, "health check");
	if (answer->notice.is_leaving)
		set_leaving(shell, "health check");
}

/* Returns true if two values are known and differ. */
static bool differ(uint64_t a, uint64_t b)
{
	return a && b && a != b;
}

/* Returns true if an entry's notice is of the start of the backend server that this node knows. A
 * start that only this node knows may be a later one. */
static bool is_own_start(const struct server_notice *own, const struct server_notice *heard)
{
	if (!own->instance || own->instance != heard->instance)
		return false;
	return !own->started_ms || own->started_ms == heard->started_ms;
}

/* Applies what an entry has heard. */
void gate_notice_adopt(struct gate_shell *shell, const struct server_notice *heard)
{
	const struct server_notice *own = &shell->notice;

	if (shell->has_heard_server || !is_own_start(own, heard))
		return;
	if (!own->started_ms)
		shell->notice.started_ms = heard->started_ms;
	if (heard->has_rate_limit && !own->has_rate_limit)
		set_limit(shell, heard->rate_limit_milli, "entry");
	if (heard->is_leaving)
		set_leaving(shell, "entry");
}

/* Forgets the notices of an earlier start of the backend server. */
void gate_notice_check_start(struct gate_shell *shell, const struct announcement *now)
{
	struct server_notice *notice = &shell->notice;
	uint64_t instance =
		now->instance[0] ? XXH3_64bits(now->instance, strlen(now->instance)) : 0;
	bool has_ended_unnamed =
		now->state == BACKEND_NONE && !notice->instance && !notice->started_ms;

	if (has_ended_unnamed || differ(notice->instance, instance) ||
	    differ(notice->started_ms, now->started_ms)) {
		clear_limit(shell);
		memset(notice, 0, sizeof(*notice));
		shell->has_heard_server = false;
		shell->has_logged_bad_rate = false;
	}
	if (instance)
		notice->instance = instance;
	if (now->started_ms)
		notice->started_ms = now->started_ms;
}

/*
 * Cold: belief and token bucket.
 *
 * Each source has its own word. The server counts as cold while any of them says so, so that the
 * first to report it takes effect. A newer word of the same source replaces the older one. A health
 * check also withdraws what the others said before it was sent, since its answer is newer. When a
 * heartbeat was written is not known, so it withdraws nothing that a health check said, or that its
 * failure makes likely: a late one could say that the server is warm from before it became cold.
 */
#include "fescuemill/decide/cold.h"

#include <string.h>

#define CALL_NANO      1000000000LL
#define RATE_MILLI_MAX 1000000000U /* keeps the products below from overflowing */
#define REFILL_US_MAX  10000000ULL /* after this time any bucket is full */
#define USEC_PER_MSEC  1000ULL

/* Returns the size of the bucket. A rate in thousandths of a call per second, times microseconds,
 * gives billionths of a call. */
static int64_t capacity_nano(const struct cold *cold)
{
	int64_t burst = (int64_t)cold->rate_milli * COLD_BURST_US;

	return burst > CALL_NANO ? burst : CALL_NANO;
}

/* Counts a call that starts now among those of the last periods. */
static void count_recent(struct cold *cold, uint64_t now_us)
{
	if (now_us >= cold->recent_us + COLD_RECENT_US) {
		bool is_next = now_us < cold->recent_us + 2ULL * COLD_RECENT_US;

		cold->recent[1] = is_next ? cold->recent[0] : 0;
		cold->recent[0] = 0;
		cold->recent_us = now_us;
	}
	cold->recent[0]++;
}

/* Returns the lowest content of the bucket: the debt of the calls of the last periods. */
static int64_t lowest_nano(const struct cold *cold)
{
	int64_t recent = (int64_t)(cold->recent[0] + cold->recent[1]) * CALL_NANO;
	int64_t most = (int64_t)cold->rate_milli * COLD_DEBT_US;

	return -(recent < most ? recent : most);
}

/* Returns the content of the bucket at a time. */
static int64_t tokens_at(const struct cold *cold, uint64_t now_us)
{
	uint64_t elapsed_us = now_us > cold->refill_us ? now_us - cold->refill_us : 0;
	int64_t tokens;

	if (elapsed_us > REFILL_US_MAX)
		elapsed_us = REFILL_US_MAX;
	tokens = cold->tokens_nano + (int64_t)(cold->rate_milli * elapsed_us);
	return tokens < capacity_nano(cold) ? tokens : capacity_nano(cold);
}

static void refill(struct cold *cold, uint64_t now_us)
{
	cold->tokens_nano = tokens_at(cold, now_us);
	if (now_us > cold->refill_us)
		cold->refill_us = now_us;
}

/* Returns the end of the time for which the server is assumed to be cold, or 0 if it is not. */
static uint64_t assumed_until_us(const struct cold *cold)
{
	uint64_t start_ms = cold->start_ms ? cold->start_ms : COLD_START_DEFAULT_MS;

	if (!cold->is_assumed)
		return 0;
	return cold->stated_us[COLD_SOURCE_ASSUMED] + start_ms * USEC_PER_MSEC;
}

/* Returns until when a source holds the server cold; 0 or a past time if it does not. */
static uint64_t source_until_us(const struct cold *cold, enum cold_source source)
{
	return source == COLD_SOURCE_ASSUMED ? assumed_until_us(cold) : cold->until_us[source];
}

/* Records the word of a source. */
static void state(struct cold *cold, enum cold_source source, uint32_t left_ms, uint64_t now_us)
{
	cold->until_us[source] = left_ms ? now_us + left_ms * USEC_PER_MSEC : 0;
	cold->stated_us[source] = now_us;
}

/* Withdraws what a source said up to a time. */
static void withdraw(struct cold *cold, enum cold_source source, uint64_t up_to_us)
{
	if (cold->stated_us[source] > up_to_us)
		return;
	cold->until_us[source] = 0;
	if (source == COLD_SOURCE_ASSUMED)
		cold->is_assumed = false;
}

/* Initializes a gate's view of a server of which it knows nothing. */
void cold_init(struct cold *cold, uint64_t now_us)
{
	memset(cold, 0, sizeof(*cold));
	cold->refill_us = now_us;
	cold->has_probed = true;
	cold_assume(cold, now_us);
}

/*
 * Sets the rate that a cold server bears, in calls per 1000 s, and how long it is cold after its
 * start. A limit that was not set before starts in debt: the calls of the last second are not
 * known.
 */
void cold_configure(struct cold *cold, uint32_t rate_milli, uint32_t start_ms, uint64_t now_us)
{
	bool was_set = cold->rate_milli != 0;

	refill(cold, now_us);
	cold->rate_milli = rate_milli < RATE_MILLI_MAX ? rate_milli : RATE_MILLI_MAX;
	cold->start_ms = start_ms;
	if (!was_set)
		cold->tokens_nano = -(int64_t)cold->rate_milli * COLD_START_DEBT_US;
	refill(cold, now_us);
}

/* Records that the server may have been started again: it is cold until it says otherwise, or until
 * the time of a cold start is over. */
void cold_assume(struct cold *cold, uint64_t now_us)
{
	cold->is_assumed = true;
	cold->stated_us[COLD_SOURCE_ASSUMED] = now_us;
}

/* Records that a server is in service again after there was none, see cold_assume(). The time of
 * its cold start begins now, unless it has said more in the meantime. */
void cold_server_back(struct cold *cold, uint64_t now_us)
{
	if (cold->is_assumed)
		cold->stated_us[COLD_SOURCE_ASSUMED] = now_us;
}

/* Returns true if two values are known and differ. */
static bool differ(uint64_t a, uint64_t b)
{
	return a && b && a != b;
}

/* Returns true if a heartbeat is older than the latest one: of an earlier start, or of the same
 * start with a lower sequence number. */
static bool is_late(const struct cold_heartbeat *latest, const struct cold_heartbeat *heartbeat)
{
	if (differ(latest->started_ms, heartbeat->started_ms))
		return heartbeat->started_ms < latest->started_ms;
	if (differ(latest->instance, heartbeat->instance))
		return false;
	return heartbeat->sequence && heartbeat->sequence <= latest->sequence;
}

/* Records a heartbeat. A late one changes nothing. One of a new start that does not say how long it
 * is cold leaves the server cold for the time of a cold start. */
void cold_hear_heartbeat(struct cold *cold, const struct cold_heartbeat *heartbeat, uint64_t now_us)
{
	const struct cold_heartbeat *latest = &cold->latest;

	if (is_late(latest, heartbeat))
		return;
	if (differ(latest->started_ms, heartbeat->started_ms) ||
	    differ(latest->instance, heartbeat->instance))
		cold_assume(cold, now_us);
	cold->latest = *heartbeat;
	if (!heartbeat->has_left)
		return;
	withdraw(cold, COLD_SOURCE_ASSUMED, now_us);
	state(cold, COLD_SOURCE_HEARTBEAT, heartbeat->left_ms, now_us);
}

/* Records what the answer to a health check that was sent at sent_us says. */
void cold_hear_probe(struct cold *cold, uint32_t left_ms, uint64_t sent_us, uint64_t now_us)
{
	cold->has_probed = true;
	withdraw(cold, COLD_SOURCE_ASSUMED, sent_us);
	withdraw(cold, COLD_SOURCE_DOUBT, sent_us);
	withdraw(cold, COLD_SOURCE_HEARTBEAT, sent_us);
	state(cold, COLD_SOURCE_PROBE, left_ms, now_us);
}

/* Records that a health check was not answered. Only the first such one after an answer raises
 * doubt: a health path that never answers must not hold a warm server back for good. */
void cold_probe_failed(struct cold *cold, uint64_t now_us)
{
	if (!cold->has_probed)
		return;
	cold->has_probed = false;
	cold->until_us[COLD_SOURCE_DOUBT] = now_us + COLD_DOUBT_US;
	cold->stated_us[COLD_SOURCE_DOUBT] = now_us;
}

/* Returns the source that holds the server cold for longest, or else the one heard last. */
static enum cold_source deciding_source(const struct cold *cold, uint64_t now_us)
{
	enum cold_source longest = COLD_SOURCE_ASSUMED;
	enum cold_source last = COLD_SOURCE_ASSUMED;

	for (int i = 1; i < COLD_SOURCE_COUNT; i++) {
		enum cold_source source = (enum cold_source)i;

		if (source_until_us(cold, source) > source_until_us(cold, longest))
			longest = source;
		if (cold->stated_us[source] >= cold->stated_us[last])
			last = source;
	}
	return source_until_us(cold, longest) > now_us ? longest : last;
}

/* Returns what the gate holds true of its server, whether or not its calls are limited. */
struct cold_belief cold_belief(const struct cold *cold, uint64_t now_us)
{
	struct cold_belief belief = {.source = deciding_source(cold, now_us)};
	uint64_t until_us = source_until_us(cold, belief.source);
	uint64_t stated_us = cold->stated_us[belief.source];

	belief.is_cold = until_us > now_us;
	belief.left_us = belief.is_cold ? until_us - now_us : 0;
	belief.age_us = now_us > stated_us ? now_us - stated_us : 0;
	return belief;
}

/* Returns true if the calls of the server are limited now: it counts as cold, and the configuration
 * states what a cold server bears. */
bool cold_is_limiting(const struct cold *cold, uint64_t now_us)
{
	if (cold->rate_milli == 0)
		return false;
	for (int i = 0; i < COLD_SOURCE_COUNT; i++) {
		if (source_until_us(cold, (enum cold_source)i) > now_us)
			return true;
	}
	return false;
}

/* Returns true if a call may start now. */
bool cold_allows(const struct cold *cold, uint64_t now_us)
{
	return !cold_is_limiting(cold, now_us) || tokens_at(cold, now_us) >= CALL_NANO;
}

/* Takes the token of a call that starts. Calls on the warm server count too, the recent ones as a
 * debt: if it becomes cold, it has just received them. */
void cold_take(struct cold *cold, uint64_t now_us)
{
	if (cold->rate_milli == 0)
		return;
	refill(cold, now_us);
	count_recent(cold, now_us);
	cold->started += cold_is_limiting(cold, now_us);
	cold->tokens_nano -= CALL_NANO;
	if (cold->tokens_nano < lowest_nano(cold))
		cold->tokens_nano = lowest_nano(cold);
}

/* Returns how long a call must wait for its token, in microseconds, if `ahead` others are before
 * it; at most until the server counts as warm. 0 if calls are not limited. */
uint64_t cold_wait_us(const struct cold *cold, uint32_t ahead, uint64_t now_us)
{
	int64_t missing_nano;
	uint64_t wait_us;
	uint64_t left_us;

	if (!cold_is_limiting(cold, now_us))
		return 0;
	missing_nano = (ahead + 1LL) * CALL_NANO - tokens_at(cold, now_us);
	if (missing_nano <= 0)
		return 0;
	wait_us = ((uint64_t)missing_nano + cold->rate_milli - 1) / cold->rate_milli;
	left_us = cold_belief(cold, now_us).left_us;
	return wait_us < left_us ? wait_us : left_us;
}

/* Returns the number of calls that may start at once while the server is cold. */
uint32_t cold_room(const struct cold *cold, uint64_t now_us)
{
	int64_t tokens = tokens_at(cold, now_us);

	return tokens > 0 ? (uint32_t)(tokens / CALL_NANO) : 0;
}

const char *cold_source_name(enum cold_source source)
{
	static const char *const names[COLD_SOURCE_COUNT] = {
		[COLD_SOURCE_ASSUMED] = "assumed",
		[COLD_SOURCE_DOUBT] = "failed health check",
		[COLD_SOURCE_HEARTBEAT] = "heartbeat",
		[COLD_SOURCE_PROBE] = "health check",
	};

	return names[source];
}

/*
 * Hooks of the entry: the decision about a call, calls that wait for a customer's home, and calls
 * that are given back.
 */
#include "fescuemilld/entry/entry_allotment.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/node/allotment_shell_defs.h"

#include <inttypes.h>

#define LOG_ID_BYTES_MAX 64
#define HELD_MAX	 1024 /* calls that wait for a home; further ones are refused */

/* Logs the refusal of a call. */
static void log_refusal(struct allotment_shell *shell, const struct call_request *req,
			const struct allotment_item *item, enum allotment_verdict verdict,
			uint32_t retry_after_ms, uint64_t now_us)
{
	static const char *const names[] = {"share", "no-word-yet", "equal-part"};
	uint32_t id_size = req->id.size < LOG_ID_BYTES_MAX ? req->id.size : LOG_ID_BYTES_MAX;

	if (!allotment_may_log(shell, now_us))
		return;
	log_write(LOG_INFO, LOG_PART_ENTRY, "A call was refused by its customer's limit.",
		  "request=%.*s customer=%016" PRIx64 " basis=%s share=%.3f share_age_us=%" PRIu64
		  " home=%016" PRIx64 " credit=%u rate_milli=%u burst=%u members=%u "
		  "asks=%d retry_after_ms=%u lines_left_out=%" PRIu64,
		  (int)id_size, (const char *)req->id.data, item->limit.customer,
		  names[item->basis], item->share, item->word_us ? now_us - item->word_us : 0,
		  item->home, item->credit, item->limit.rate_milli, item->limit.burst,
		  shell->entry.members, verdict == ALLOTMENT_REFUSE_UNKNOWN, retry_after_ms,
		  allotment_take_dropped_lines(shell));
}

/* Counts a decision; logs a refusal and computes the delay to suggest. */
static enum call_reason conclude(struct allotment_shell *shell, const struct call_request *req,
				 const struct allotment_item *item, enum allotment_verdict verdict,
				 uint64_t now_us, uint32_t *retry_after_ms)
{
	if (verdict == ALLOTMENT_ADMIT) {
		counter_add(COUNTER_ALLOTMENT_ADMITTED, 1);
		return REASON_NONE;
	}
	*retry_after_ms =
		allotment_entry_retry_ms(&shell->entry, item, verdict, random_unit(&shell->rng));
	counter_add(COUNTER_ALLOTMENT_REFUSED, 1);
	log_refusal(shell, req, item, verdict, *retry_after_ms, now_us);
	return REASON_ALLOTMENT;
}

/* Adds a call to those that wait for a home. */
static void hold(struct allotment_shell *shell, const struct allotment_limit *limit,
		 const struct call_request *req, struct allotment_waiter *waiter, uint64_t now_us)
{
	waiter->shell = shell;
	waiter->limit = *limit;
	waiter->req = req;
	waiter->held_us = now_us;
	waiter->is_waiting = true;
	waiter->link = (h2o_linklist_t){NULL, NULL};
	h2o_linklist_insert(&shell->held, &waiter->link);
	shell->held_count++;
}

/* Decides whether a call of a customer may run. */
enum call_reason entry_allotment_take(struct allotment_shell *shell,
				      const struct customer *customer,
				      const struct call_request *req,
				      struct allotment_waiter *waiter, uint32_t *retry_after_ms)
{
	struct allotment_limit limit = allotment_limit_of(customer);
	struct allotment_item *item;
	enum allotment_verdict verdict;
	uint64_t now_us;

	*retry_after_ms = 0;
	if (waiter)
		waiter->is_waiting = false;
	if (!limit.rate_milli && !limit.burst)
		return REASON_NONE;
	now_us = clock_monotonic_us();
	shell->is_enabled = true;
	if (!allotment_shell_start(shell, now_us))
		return REASON_ALLOTMENT;
	verdict = allotment_entry_take(&shell->entry, &limit, now_us, &item);
	if (verdict == ALLOTMENT_REFUSE_UNKNOWN && waiter && shell->held_count < HELD_MAX) {
		hold(shell, &limit, req, waiter, now_us);
		return REASON_ALLOTMENT;
	}
	return conclude(shell, req, item, verdict, now_us, retry_after_ms);
}

/* Withdraws a call that waits. */
void entry_allotment_cancel(struct allotment_waiter *waiter)
{
	if (!waiter->is_waiting)
		return;
	waiter->is_waiting = false;
	waiter->shell->held_count--;
	h2o_linklist_unlink(&waiter->link);
}

/* Gives back what a call took that was not run. */
void entry_allotment_give_back(struct allotment_shell *shell, uint64_t customer)
{
	if (!allotment_entry_find(&shell->entry, customer))
		return;
	allotment_entry_give_back(&shell->entry, customer, clock_monotonic_us());
	counter_add(COUNTER_ALLOTMENT_GIVEN_BACK, 1);
}

/* Decides about a call that waits, if its home has answered or its time is up. Returns false if it
 * waits on. */
static bool release_held(struct allotment_shell *shell, struct allotment_waiter *waiter,
			 uint64_t now_us)
{
	struct allotment_item *item = allotment_entry_find(&shell->entry, waiter->limit.customer);
	bool is_heard = item && item->word_us >= waiter->held_us;
	enum allotment_verdict verdict = ALLOTMENT_REFUSE_UNKNOWN;
	uint32_t retry_after_ms = 0;
	enum call_reason reason;

	if (!is_heard && now_us < waiter->held_us + ALLOTMENT_HOLD_US)
		return false;
	entry_allotment_cancel(waiter);
	if (!item || is_heard)
		verdict = allotment_entry_take_again(&shell->entry, &waiter->limit, now_us, &item);
	reason = conclude(shell, waiter->req, item, verdict, now_us, &retry_after_ms);
	waiter->on_decided(waiter->user, reason, retry_after_ms);
	return true;
}

/* Decides about the calls that wait. on_decided may withdraw other calls or add new ones: the list
 * is read from its start again after each decision. */
void entry_allotment_release(struct allotment_shell *shell, uint64_t now_us)
{
	h2o_linklist_t *link = shell->held.next;

	while (link != &shell->held) {
		struct allotment_waiter *waiter = (struct allotment_waiter *)link;

		link = release_held(shell, waiter, now_us) ? shell->held.next : link->next;
	}
}

/*
 * Hooks with which the entry asks whether a customer's limit lets a call through.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_ALLOTMENT_H
#define FESCUEMILLD_ENTRY_ENTRY_ALLOTMENT_H

#include "fescuemill/decide/allotment.h"
#include "fescuemill/decide/customer.h"
#include "fescuemill/http/call_request.h"

#include <h2o/linklist.h>

#define ALLOTMENT_HOLD_US 60000ULL /* a round trip between regions, and the shell's timer */

struct allotment_shell;

/* A call that waits until its customer's home has answered. In the call's arena. */
struct allotment_waiter {
	h2o_linklist_t link; /* must be first: a list link is cast to this struct */
	struct allotment_limit limit;
	const struct call_request *req;
	struct allotment_shell *shell;
	uint64_t held_us; /* since when the call waits */
	bool is_waiting;
	/* Called once with the decision: REASON_NONE, or REASON_ALLOTMENT and the delay to suggest
	 * to the caller. Set by the entry. */
	void (*on_decided)(void *user, enum call_reason reason, uint32_t retry_after_ms);
	void *user;
};

/* Hooks of the entry. The first is called once for each call of a customer, before a gate is
 * chosen. It returns REASON_NONE, or REASON_ALLOTMENT and the delay to suggest to the caller. If it
 * has set waiter->is_waiting, the call is not decided yet, and on_decided is called within
 * ALLOTMENT_HOLD_US and a tick; a call whose caller left is withdrawn with
 * entry_allotment_cancel(). waiter may be NULL: the call is then refused. A call that was let
 * through and then was not run is given back, by the customer's id; a customer that has no limit is
 * ignored. */
enum call_reason entry_allotment_take(struct allotment_shell *shell,
				      const struct customer *customer,
				      const struct call_request *req,
				      struct allotment_waiter *waiter, uint32_t *retry_after_ms);
void entry_allotment_cancel(struct allotment_waiter *waiter);
void entry_allotment_give_back(struct allotment_shell *shell, uint64_t customer);

#endif

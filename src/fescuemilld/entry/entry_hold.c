/*
 * Holds calls of customers that this entry has no word about yet: the customer's home decides
 * within a round trip whether its allotment has room.
 */
#include "fescuemilld/entry/entry_hold.h"

#include "fescuemill/base/clock.h"
#include "fescuemilld/entry/entry_allotment.h"
#include "fescuemilld/entry/entry_classify.h"
#include "fescuemilld/entry/entry_customer.h"

#include <string.h>

/* A held call, in the arena of the caller's call. */
struct held_call {
	h2o_linklist_t link; /* must be first: a list link is cast to this struct */
	struct allotment_waiter waiter;
	struct entry *entry;
	struct caller_call *caller;
	const struct call_request *received;
	const struct call_request *req;
	struct call_class class;
	uint64_t config_revision; /* by which it was classified */
	uint64_t received_us;
};

static bool is_outdated(const struct held_call *held)
{
	return config_revision(held->entry->options.config) != held->config_revision;
}

/* Refuses a call that was held. What points into a configuration that is no longer in force is gone
 * with it. */
static void refuse_held(struct held_call *held, enum call_reason reason, uint32_t retry_after_ms)
{
	if (is_outdated(held)) {
		held->class.customer = NULL;
		held->class.regions = NULL;
	}
	entry_refuse_request(held->entry, held->caller, held->req, &held->class, reason,
			     retry_after_ms);
}

/* Removes a call from the held ones. */
static void unlink_held(struct held_call *held)
{
	h2o_linklist_unlink(&held->link);
	held->entry->held_count--;
}

/* Classifies a call again if the configuration has changed since: its route or its key may be gone.
 * Returns REASON_NONE, or why it is refused. */
static enum call_reason classify_again(struct held_call *held)
{
	struct entry *entry = held->entry;
	enum call_reason reason;

	if (!is_outdated(held))
		return REASON_NONE;
	held->config_revision = config_revision(entry->options.config);
	held->req = held->received;
	reason = entry_classify(entry, held->req, &held->class);
	if (reason != REASON_NONE)
		return reason;
	return entry_customer_prepare(entry, held->caller, &held->class, &held->req);
}

/* Starts or refuses a call whose customer's home has answered, or did not in time. */
static void on_decided(void *user, enum call_reason reason, uint32_t retry_after_ms)
{
	struct held_call *held = user;
	struct entry *entry = held->entry;
	uint64_t held_us = clock_monotonic_us() - held->received_us;

	unlink_held(held);
	if (reason == REASON_NONE) {
		reason = classify_again(held);
		if (reason != REASON_NONE)
			entry_allotment_give_back(entry->allotment, held->waiter.limit.customer);
	}
	if (reason != REASON_NONE) {
		refuse_held(held, reason, retry_after_ms);
		return;
	}
	held->class.time_left_us -=
		held_us < held->class.time_left_us ? held_us : held->class.time_left_us;
	entry_start_call(entry, held->caller, held->req, &held->class);
}

/* Creates the record of a call that may have to be held. */
static struct held_call *create_held(struct entry *entry, struct caller_call *caller,
				     const struct call_request *received,
				     const struct call_request *req, const struct call_class *class)
{
	struct held_call *held = h2o_mem_alloc_pool(caller_call_pool(caller), sizeof(*held));

	memset(held, 0, sizeof(*held));
	held->entry = entry;
	held->caller = caller;
	held->received = received;
	held->req = req;
	held->class = *class;
	held->config_revision = config_revision(entry->options.config);
	held->received_us = clock_monotonic_us();
	held->waiter.on_decided = on_decided;
	held->waiter.user = held;
	return held;
}

enum hold_verdict entry_hold_take(struct entry *entry, struct caller_call *caller,
				  const struct call_request *received,
				  const struct call_request *req, const struct call_class *class,
				  uint32_t *retry_after_ms)
{
	struct held_call *held;
	enum call_reason reason;

	*retry_after_ms = 0;
	if (!class->customer || !entry->allotment)
		return HOLD_START;
	held = create_held(entry, caller, received, req, class);
	reason = entry_allotment_take(entry->allotment, class->customer, req, &held->waiter,
				      retry_after_ms);
	if (!held->waiter.is_waiting)
		return reason == REASON_NONE ? HOLD_START : HOLD_REFUSE;
	h2o_linklist_insert(&entry->held, &held->link);
	entry->held_count++;
	return HOLD_WAIT;
}

bool entry_hold_caller_gone(struct entry *entry, struct caller_call *caller)
{
	for (h2o_linklist_t *link = entry->held.next; link != &entry->held; link = link->next) {
		struct held_call *held = (struct held_call *)link;

		if (held->caller != caller)
			continue;
		entry_allotment_cancel(&held->waiter);
		unlink_held(held);
		refuse_held(held, REASON_CANCELLED, 0);
		return true;
	}
	return false;
}

void entry_hold_end(struct entry *entry)
{
	while (!h2o_linklist_is_empty(&entry->held)) {
		struct held_call *held = (struct held_call *)entry->held.next;

		entry_allotment_cancel(&held->waiter);
		unlink_held(held);
		refuse_held(held, REASON_DRAINING, 0);
	}
}

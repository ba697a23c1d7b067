/*
 * Budget: token buckets. What is sent asks first; what was received is charged afterwards, so that
 * a node that hears much says less. Large answers are charged whole: what a bucket's bounded debt
 * does not take is owed and paid off by half of the rate, so that gossip goes on meanwhile.
 */
#include "fescuemill/decide/budget.h"

#define BURST_S		2    /* seconds of the rate that may be spent at once */
#define BURST_BYTES_MIN 2000 /* so that a small share still holds a packet or a request */
#define DEBT_MAX_S	2    /* seconds of the rate that receiving may put a bucket into debt */
#define OWED_SHARE	0.5  /* of what is refilled, while something is owed */
#define WATCHERS_SHARE	4    /* one in this many parts of the link is set aside for watchers */
#define RESERVE_DIVISOR 8    /* this part of the burst is kept for what cannot wait */
#define USEC_IN_SEC	1e6

/* Sets a bucket's rate and burst; keeps what it holds within the new burst. */
static void bucket_set_rate(struct budget_bucket *bucket, uint64_t rate_bytes_per_s)
{
	bucket->rate_bytes_per_s = rate_bytes_per_s;
	bucket->burst_bytes = (int64_t)(rate_bytes_per_s * BURST_S);
	if (bucket->burst_bytes < BURST_BYTES_MIN)
		bucket->burst_bytes = BURST_BYTES_MIN;
	if (bucket->tokens_bytes > (double)bucket->burst_bytes)
		bucket->tokens_bytes = (double)bucket->burst_bytes;
}

/* Pays off what is owed with its share of what was earned; returns the rest. */
static double bucket_pay_off(struct budget_bucket *bucket, double earned_bytes)
{
	double paid = earned_bytes * OWED_SHARE;

	if (paid > bucket->owed_bytes)
		paid = bucket->owed_bytes;
	bucket->owed_bytes -= paid;
	return earned_bytes - paid;
}

/* Adds what the passed time allows, up to the burst. */
static void bucket_refill(struct budget_bucket *bucket, uint64_t now_us)
{
	double earned;

	if (now_us <= bucket->refilled_us)
		return;
	earned = (double)(now_us - bucket->refilled_us) / USEC_IN_SEC *
		 (double)bucket->rate_bytes_per_s;
	bucket->tokens_bytes += bucket_pay_off(bucket, earned);
	if (bucket->tokens_bytes > (double)bucket->burst_bytes)
		bucket->tokens_bytes = (double)bucket->burst_bytes;
	bucket->refilled_us = now_us;
}

/* Takes bytes from a bucket, down to a bounded debt; returns the bytes beyond it. */
static double bucket_spend(struct budget_bucket *bucket, uint32_t bytes)
{
	double lowest = -(double)(bucket->rate_bytes_per_s * DEBT_MAX_S);
	double beyond = 0;

	bucket->tokens_bytes -= bytes;
	if (bucket->tokens_bytes < lowest) {
		beyond = lowest - bucket->tokens_bytes;
		bucket->tokens_bytes = lowest;
	}
	bucket->spent_bytes += bytes;
	return beyond;
}

/* Starts with full buckets; the link's whole rate until budget_share_link is told otherwise. */
void budget_init(struct budget *bud, uint64_t node_bytes_per_s, uint64_t link_bytes_per_s,
		 uint64_t now_us)
{
	struct budget_bucket empty = {.refilled_us = now_us};

	bud->node = empty;
	bud->link = empty;
	bud->link_total_bytes_per_s = link_bytes_per_s;
	bucket_set_rate(&bud->node, node_bytes_per_s);
	bucket_set_rate(&bud->link, link_bytes_per_s);
	bud->node.tokens_bytes = (double)bud->node.burst_bytes;
	bud->link.tokens_bytes = (double)bud->link.burst_bytes;
}

/* Divides the link's rate among the nodes that share it; 0 counts as 1. When the platform is
 * across the link, a part is set aside for the nodes that watch it, divided among them. */
void budget_share_link(struct budget *bud, uint32_t nodes, uint32_t watchers, bool is_watcher)
{
	uint64_t total = bud->link_total_bytes_per_s;
	uint64_t set_aside = watchers ? total / WATCHERS_SHARE : 0;
	uint64_t rate = (total - set_aside) / (nodes ? nodes : 1);

	if (is_watcher && watchers)
		rate += set_aside / watchers;
	bucket_set_rate(&bud->link, rate);
}

/* Refills both buckets up to now. */
static void refill(struct budget *bud, uint64_t now_us)
{
	bucket_refill(&bud->node, now_us);
	bucket_refill(&bud->link, now_us);
}

/* Takes bytes if the node's bucket, and the link's for what crosses it, hold them; takes nothing
 * otherwise. Bytes include the headers of the packet. */
bool budget_take(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us)
{
	refill(bud, now_us);
	if (bud->node.tokens_bytes < bytes) {
		bud->node.refused_bytes += bytes;
		return false;
	}
	if (crosses_link && bud->link.tokens_bytes < bytes) {
		bud->link.refused_bytes += bytes;
		return false;
	}
	bucket_spend(&bud->node, bytes);
	if (crosses_link)
		bucket_spend(&bud->link, bytes);
	return true;
}

/* As budget_take(), but also refuses while something is owed: for what is large or can wait long.
 */
bool budget_take_settled(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us)
{
	refill(bud, now_us);
	if (bud->node.owed_bytes > 0) {
		bud->node.refused_bytes += bytes;
		return false;
	}
	if (crosses_link && bud->link.owed_bytes > 0) {
		bud->link.refused_bytes += bytes;
		return false;
	}
	return budget_take(bud, bytes, crosses_link, now_us);
}

/* Tells whether no more than the reserve is left. */
bool budget_is_low(struct budget *bud, uint64_t now_us)
{
	refill(bud, now_us);
	return bud->node.tokens_bytes < (double)bud->node.burst_bytes / RESERVE_DIVISOR;
}

/* Charges bytes that were received or could not wait. */
void budget_charge(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us)
{
	refill(bud, now_us);
	bucket_spend(&bud->node, bytes);
	if (crosses_link)
		bucket_spend(&bud->link, bytes);
}

/* As budget_charge(), but nothing is forgiven: what is beyond the bounded debt is owed. */
void budget_charge_whole(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us)
{
	refill(bud, now_us);
	bud->node.owed_bytes += bucket_spend(&bud->node, bytes);
	if (crosses_link)
		bud->link.owed_bytes += bucket_spend(&bud->link, bytes);
}

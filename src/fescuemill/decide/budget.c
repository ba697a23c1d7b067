/*
 * Budget: token buckets. What is sent asks first; what was received is charged afterwards, so that
 * a node that hears much says less.
 */
#include "fescuemill/decide/budget.h"

#define BURST_S		2 /* seconds of the rate that may be spent at once */
#define DEBT_MAX_S	2 /* seconds of the rate that receiving may put a bucket into debt */
#define RESERVE_DIVISOR 8 /* this part of the burst is kept for what cannot wait */
#define USEC_IN_SEC	1e6

/* Sets a bucket's rate and burst; keeps what it holds within the new burst. */
static void bucket_set_rate(struct budget_bucket *bucket, uint64_t rate_bytes_per_s)
{
	bucket->rate_bytes_per_s = rate_bytes_per_s;
	bucket->burst_bytes = (int64_t)(rate_bytes_per_s * BURST_S);
	if (bucket->tokens_bytes > (double)bucket->burst_bytes)
		bucket->tokens_bytes = (double)bucket->burst_bytes;
}

/* Adds what the passed time allows, up to the burst. */
static void bucket_refill(struct budget_bucket *bucket, uint64_t now_us)
{
	if (now_us <= bucket->refilled_us)
		return;
	bucket->tokens_bytes += (double)(now_us - bucket->refilled_us) / USEC_IN_SEC *
				(double)bucket->rate_bytes_per_s;
	if (bucket->tokens_bytes > (double)bucket->burst_bytes)
		bucket->tokens_bytes = (double)bucket->burst_bytes;
	bucket->refilled_us = now_us;
}

/* Takes bytes from a bucket, down to a bounded debt. */
static void bucket_spend(struct budget_bucket *bucket, uint32_t bytes)
{
	double lowest = -(double)(bucket->rate_bytes_per_s * DEBT_MAX_S);

	bucket->tokens_bytes -= bytes;
	if (bucket->tokens_bytes < lowest)
		bucket->tokens_bytes = lowest;
	bucket->spent_bytes += bytes;
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

/* Divides the link's rate among the nodes that share it; 0 counts as 1. */
void budget_share_link(struct budget *bud, uint32_t nodes)
{
	bucket_set_rate(&bud->link, bud->link_total_bytes_per_s / (nodes ? nodes : 1));
}

/* Takes bytes if the node's bucket, and the link's for what crosses it, hold them; takes nothing
 * otherwise. Bytes include the headers of the packet. */
bool budget_take(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us)
{
	bucket_refill(&bud->node, now_us);
	bucket_refill(&bud->link, now_us);
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

/* Tells whether no more than the reserve is left. */
bool budget_is_low(struct budget *bud, uint64_t now_us)
{
	bucket_refill(&bud->node, now_us);
	return bud->node.tokens_bytes < (double)bud->node.burst_bytes / RESERVE_DIVISOR;
}

/* Charges bytes that were received or could not wait. */
void budget_charge(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us)
{
	bucket_refill(&bud->node, now_us);
	bucket_refill(&bud->link, now_us);
	bucket_spend(&bud->node, bytes);
	if (crosses_link)
		bucket_spend(&bud->link, bytes);
}

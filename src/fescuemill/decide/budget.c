/*
 * Token buckets of the byte budget. Bytes to send are taken from the budget first and are not sent
 * if the budget refuses them. Received bytes are charged afterwards, so that a node that receives
 * much sends less. Large answers are charged in full: the bytes beyond a bucket's overdraft limit
 * go to its backlog, which is repaid from half of the rate so that gossip continues meanwhile.
 */
#include "fescuemill/decide/budget.h"

#define BURST_S		    2	 /* size of a bucket, in seconds of its rate */
#define BURST_BYTES_MIN	    2000 /* lets a low-rate bucket still hold a packet or a request */
#define OVERDRAFT_MAX_S	    2	 /* limit of the overdraft, in seconds of the rate */
#define BACKLOG_REPAY_SHARE 0.5	 /* share of each refill that repays the backlog */
#define WATCHERS_DIVISOR    4	 /* 1/4 of the link's rate is set aside for watchers */
#define RESERVE_DIVISOR	    8	 /* 1/8 of the burst is reserved for messages that cannot wait */
#define USEC_IN_SEC	    1e6

/* Sets a bucket's rate and burst, and drops tokens beyond the new burst. */
static void bucket_set_rate(struct budget_bucket *bucket, uint64_t rate_bytes_per_s)
{
	bucket->rate_bytes_per_s = rate_bytes_per_s;
	bucket->burst_bytes = (int64_t)(rate_bytes_per_s * BURST_S);
	if (bucket->burst_bytes < BURST_BYTES_MIN)
		bucket->burst_bytes = BURST_BYTES_MIN;
	if (bucket->tokens_bytes > (double)bucket->burst_bytes)
		bucket->tokens_bytes = (double)bucket->burst_bytes;
}

/* Repays the backlog from its share of the refilled bytes. Returns the bytes that remain for the
 * bucket. */
static double bucket_repay_backlog(struct budget_bucket *bucket, double earned_bytes)
{
	double paid = earned_bytes * BACKLOG_REPAY_SHARE;

	if (paid > bucket->backlog_bytes)
		paid = bucket->backlog_bytes;
	bucket->backlog_bytes -= paid;
	return earned_bytes - paid;
}

/* Adds the tokens for the time since the last refill, up to the burst. */
static void bucket_refill(struct budget_bucket *bucket, uint64_t now_us)
{
	double earned;

	if (now_us <= bucket->refilled_us)
		return;
	earned = (double)(now_us - bucket->refilled_us) / USEC_IN_SEC *
		 (double)bucket->rate_bytes_per_s;
	bucket->tokens_bytes += bucket_repay_backlog(bucket, earned);
	if (bucket->tokens_bytes > (double)bucket->burst_bytes)
		bucket->tokens_bytes = (double)bucket->burst_bytes;
	bucket->refilled_us = now_us;
}

/* Removes tokens from a bucket, down to its overdraft limit. Returns the bytes beyond the limit. */
static double bucket_spend(struct budget_bucket *bucket, uint32_t bytes)
{
	double lowest = -(double)(bucket->rate_bytes_per_s * OVERDRAFT_MAX_S);
	double beyond = 0;

	bucket->tokens_bytes -= bytes;
	if (bucket->tokens_bytes < lowest) {
		beyond = lowest - bucket->tokens_bytes;
		bucket->tokens_bytes = lowest;
	}
	bucket->spent_bytes += bytes;
	return beyond;
}

/* Initializes the budget with full buckets. The link's bucket has the link's whole rate until
 * budget_share_link() divides it. */
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

/* Sets this node's share of the link's rate, which all nodes divide equally (0 nodes count as 1).
 * If the platform is across the link, watchers is the number of nodes that watch it: a part of the
 * rate is then set aside and divided among them, in addition to their equal shares. */
void budget_share_link(struct budget *bud, uint32_t nodes, uint32_t watchers, bool is_watcher)
{
	uint64_t total = bud->link_total_bytes_per_s;
	uint64_t set_aside = watchers ? total / WATCHERS_DIVISOR : 0;
	uint64_t rate = (total - set_aside) / (nodes ? nodes : 1);

	if (is_watcher && watchers)
		rate += set_aside / watchers;
	bucket_set_rate(&bud->link, rate);
}

static void refill(struct budget *bud, uint64_t now_us)
{
	bucket_refill(&bud->node, now_us);
	bucket_refill(&bud->link, now_us);
}

/* Takes bytes from the node's bucket and, for traffic that crosses the link, from the link's
 * bucket. Returns false and takes nothing if one of them holds too few. The bytes include packet
 * headers. */
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

/* Like budget_take(), but also refuses while there is a backlog. For messages that are large or can
 * wait long. */
bool budget_take_if_no_backlog(struct budget *bud, uint32_t bytes, bool crosses_link,
			       uint64_t now_us)
{
	refill(bud, now_us);
	if (bud->node.backlog_bytes > 0) {
		bud->node.refused_bytes += bytes;
		return false;
	}
	if (crosses_link && bud->link.backlog_bytes > 0) {
		bud->link.refused_bytes += bytes;
		return false;
	}
	return budget_take(bud, bytes, crosses_link, now_us);
}

/* Returns true if the node's bucket holds less than the reserve, which is left to messages that
 * cannot wait. */
bool budget_is_low(struct budget *bud, uint64_t now_us)
{
	refill(bud, now_us);
	return bud->node.tokens_bytes < (double)bud->node.burst_bytes / RESERVE_DIVISOR;
}

/* Charges bytes that were received or could not wait. Bytes beyond the overdraft limit are
 * not repaid. */
void budget_charge(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us)
{
	refill(bud, now_us);
	bucket_spend(&bud->node, bytes);
	if (crosses_link)
		bucket_spend(&bud->link, bytes);
}

/* Like budget_charge(), but bytes beyond the overdraft limit go to the backlog. */
void budget_charge_in_full(struct budget *bud, uint32_t bytes, bool crosses_link, uint64_t now_us)
{
	refill(bud, now_us);
	bud->node.backlog_bytes += bucket_spend(&bud->node, bytes);
	if (crosses_link)
		bud->link.backlog_bytes += bucket_spend(&bud->link, bytes);
}

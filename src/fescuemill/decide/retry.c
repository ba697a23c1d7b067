/*
 * Retry budgets. The budget of a call tree is split, never copied: the part that is passed on with
 * an attempt that may have run is spent, and only an attempt that did not run gives its part back.
 * The retries on any path from the root of the tree to a leaf therefore never exceed the budget,
 * however deep the tree is. The bucket of a service bounds the fleet-wide share of arrivals beyond
 * the first in an outage: first attempts fill it, and retries and calls made by repeated runs empty
 * it.
 */
#include "fescuemill/decide/retry.h"

#include <string.h>

#define RETRY_TOKEN_MILLI		1000U
#define RETRY_BUCKET_CAPACITY_MILLI_MAX (10 * RETRY_TOKEN_MILLI)
#define RETRY_DEBT_MILLI_MAX		(20 * (int32_t)RETRY_TOKEN_MILLI)

/* Initialises a call's part of the tree's budget with the budget from its header, or with
 * RETRY_TREE_DEFAULT if has_budget is false. Larger budgets are cut to RETRY_TREE_MAX. */
void retry_tree_init(struct retry_tree *tree, bool has_budget, uint32_t budget)
{
	tree->left = has_budget ? budget : RETRY_TREE_DEFAULT;
	tree->passed = 0;
	if (tree->left > RETRY_TREE_MAX)
		tree->left = RETRY_TREE_MAX;
}

/* Splits the budget for the attempt about to be sent and returns the part to pass on with it. An
 * idempotent call keeps one retry, for the case that the attempt may have run and its answer is
 * lost. If only one is left, it is passed on: refusals are more frequent than losses and happen at
 * any depth. */
uint32_t retry_tree_pass(struct retry_tree *tree, bool idempotent)
{
	uint32_t kept = idempotent && tree->left > 1 ? 1 : 0;

	tree->passed = tree->left - kept;
	tree->left = kept;
	return tree->passed;
}

/* Puts the part that was passed on back into the budget, after an attempt that did not run. */
void retry_tree_return(struct retry_tree *tree)
{
	tree->left += tree->passed;
	tree->passed = 0;
}

/* Sets what a bucket earns with each first attempt. The share of this entry's own retries is cut to
 * half of the limit: the rest is for the calls that repeated runs of other services make. */
void retry_bucket_set_shares(struct retry_bucket *bucket, uint32_t share_permille,
			     uint32_t limit_permille)
{
	bucket->limit_permille = limit_permille;
	bucket->share_permille =
		share_permille < limit_permille / 2 ? share_permille : limit_permille / 2;
}

/* Initialises a service's bucket with one retry, so that a rarely called service can retry too.
 * With a share or limit of 0 there are no retries. */
void retry_bucket_init(struct retry_bucket *bucket, uint32_t share_permille,
		       uint32_t limit_permille)
{
	memset(bucket, 0, sizeof(*bucket));
	retry_bucket_set_shares(bucket, share_permille, limit_permille);
	bucket->own_milli = bucket->share_permille ? RETRY_TOKEN_MILLI : 0;
	bucket->all_milli = bucket->share_permille ? RETRY_TOKEN_MILLI : 0;
	bucket->capacity_milli = RETRY_BUCKET_CAPACITY_MILLI_MAX;
}

/* Returns a node's share, in thousandths of a retry, of the retries that the fleet may accumulate.
 * Nodes do not exchange how many retries they spend, so all shares are equal. Half of the fleet's
 * retries is not handed out: it covers the first retry of each process that starts, and repeats
 * that are not spread as evenly as the calls. */
uint32_t retry_node_capacity_milli(uint32_t fleet_burst, uint32_t nodes)
{
	return fleet_burst * (RETRY_TOKEN_MILLI / 2) / (nodes > 0 ? nodes : 1);
}

/* Sets the capacity of a bucket, in thousandths of a retry. It is at least one retry, so that even
 * the smallest share accumulates to a whole retry. */
void retry_bucket_set_capacity(struct retry_bucket *bucket, uint32_t capacity_milli)
{
	int32_t capacity = RETRY_BUCKET_CAPACITY_MILLI_MAX;

	if (capacity_milli < RETRY_BUCKET_CAPACITY_MILLI_MAX)
		capacity = (int32_t)capacity_milli;
	if (capacity < (int32_t)RETRY_TOKEN_MILLI)
		capacity = (int32_t)RETRY_TOKEN_MILLI;
	bucket->capacity_milli = capacity;
	if (bucket->own_milli > capacity)
		bucket->own_milli = capacity;
	if (bucket->all_milli > capacity)
		bucket->all_milli = capacity;
}

/* Adds what the first attempt of a call earns, and charges it for the share of it that repeats
 * earlier work: repeat_permille is the chance, in permille, that the run that makes the call is
 * itself a repeat. Such a call cannot be held back any more, so the bucket may fall below zero;
 * then there are no retries until it has recovered. bucket may be NULL: unlimited. */
void retry_bucket_first_attempt(struct retry_bucket *bucket, uint32_t repeat_permille)
{
	uint32_t fresh_permille = 1000 - repeat_permille;

	if (!bucket)
		return;
	bucket->own_milli += (int32_t)(bucket->share_permille * fresh_permille / 1000);
	bucket->all_milli += (int32_t)(bucket->limit_permille * fresh_permille / 1000);
	bucket->all_milli -= (int32_t)repeat_permille;
	if (bucket->own_milli > bucket->capacity_milli)
		bucket->own_milli = bucket->capacity_milli;
	if (bucket->all_milli > bucket->capacity_milli)
		bucket->all_milli = bucket->capacity_milli;
	if (bucket->all_milli < -RETRY_DEBT_MILLI_MAX)
		bucket->all_milli = -RETRY_DEBT_MILLI_MAX;
}

/* Takes one retry out of a service's bucket. Returns false if it holds less than one. bucket may be
 * NULL: unlimited. */
bool retry_take_token(struct retry_bucket *bucket)
{
	if (!bucket)
		return true;
	if (bucket->own_milli < (int32_t)RETRY_TOKEN_MILLI ||
	    bucket->all_milli < (int32_t)RETRY_TOKEN_MILLI)
		return false;
	bucket->own_milli -= (int32_t)RETRY_TOKEN_MILLI;
	bucket->all_milli -= (int32_t)RETRY_TOKEN_MILLI;
	return true;
}

/* Takes one retry out of both budgets. Returns false, and takes none, if either is used up.
 * bucket may be NULL: unlimited. */
bool retry_take(struct retry_bucket *bucket, struct retry_tree *tree)
{
	if (tree->left == 0 || !retry_take_token(bucket))
		return false;
	tree->left--;
	return true;
}

/* Records that an attempt started to run. repeat_permille is the chance that it repeats work that
 * an earlier attempt has reached a backend server for: 1000 for a retry. */
void retry_runs_started(struct retry_runs *runs, uint32_t repeat_permille)
{
	runs->count++;
	runs->repeat_permille += repeat_permille;
}

/* Records that a run ended that was started with this repeat_permille. */
void retry_runs_ended(struct retry_runs *runs, uint32_t repeat_permille)
{
	runs->count--;
	runs->repeat_permille -= repeat_permille;
}

/* Returns the chance, in permille, that a call made by one of the runs is part of a repeat. The
 * backend server does not tell which run makes a call, so it may be any of them. */
uint32_t retry_runs_share_permille(const struct retry_runs *runs)
{
	return runs->count ? (uint32_t)(runs->repeat_permille / runs->count) : 0;
}

/*
 * Retries. The tree's budget is split, never copied: what goes down with an attempt that may have
 * run is spent, and only an attempt that certainly did not run gives its part back. A path from
 * the root of a call tree to a leaf therefore holds at most budget retries, whatever its depth.
 * The service's bucket bounds the fleet-wide share in an outage: first attempts fill it, retries
 * empty it.
 */
#include "fescuemill/decide/retry.h"

#include <stddef.h>

#define RETRY_TOKEN_MILLI      1000U
#define RETRY_BUCKET_MAX_MILLI (10 * RETRY_TOKEN_MILLI)

/* Starts a call's part of the tree's budget from its header, or from the default when the header
 * states none. Larger budgets are cut to RETRY_TREE_MAX. */
void retry_tree_init(struct retry_tree *tree, bool stated, uint32_t budget)
{
	tree->left = stated ? budget : RETRY_TREE_DEFAULT;
	tree->passed = 0;
	if (tree->left > RETRY_TREE_MAX)
		tree->left = RETRY_TREE_MAX;
}

/* Gives the part of the budget that goes down with the attempt about to be sent. An idempotent
 * call keeps one retry back, to use if the attempt is lost after it may have run; the last one goes
 * down, since refusals are more frequent than losses and can be met at every depth. */
uint32_t retry_tree_pass(struct retry_tree *tree, bool idempotent)
{
	uint32_t kept = idempotent && tree->left > 1 ? 1 : 0;

	tree->passed = tree->left - kept;
	tree->left = kept;
	return tree->passed;
}

/* Takes back what went down with an attempt that certainly did not run. */
void retry_tree_return(struct retry_tree *tree)
{
	tree->left += tree->passed;
	tree->passed = 0;
}

/* Starts a service's budget with one retry in hand, so that a rarely called service can retry; with
 * a share of 0 there is none. */
void retry_bucket_init(struct retry_bucket *bucket, uint32_t share_permille)
{
	bucket->tokens_milli = share_permille ? RETRY_TOKEN_MILLI : 0;
	bucket->share_permille = share_permille;
	bucket->most_milli = RETRY_BUCKET_MAX_MILLI;
}

/* Gives a node's part of the retries that the fleet may save up, in thousandths. Nodes do not tell
 * each other what they spend, so each has an equal part. */
uint32_t retry_most_milli(uint32_t fleet_burst, uint32_t nodes)
{
	return fleet_burst * RETRY_TOKEN_MILLI / (nodes > 0 ? nodes : 1);
}

/* Sets what the bucket holds at most, in thousandths of a retry; a part of one is enough to gather
 * towards the next. */
void retry_bucket_set_most(struct retry_bucket *bucket, uint32_t most_milli)
{
	if (most_milli > RETRY_BUCKET_MAX_MILLI)
		most_milli = RETRY_BUCKET_MAX_MILLI;
	bucket->most_milli = most_milli > RETRY_TOKEN_MILLI ? most_milli : RETRY_TOKEN_MILLI;
	if (bucket->tokens_milli > bucket->most_milli)
		bucket->tokens_milli = bucket->most_milli;
}

/* Adds a first attempt's fraction of a retry. The bucket may be NULL: unbounded. */
void retry_bucket_first_attempt(struct retry_bucket *bucket)
{
	if (!bucket)
		return;
	bucket->tokens_milli += bucket->share_permille;
	if (bucket->tokens_milli > bucket->most_milli)
		bucket->tokens_milli = bucket->most_milli;
}

/* Takes one retry out of the service's budget, if it has one. The bucket may be NULL: unbounded. */
bool retry_take_token(struct retry_bucket *bucket)
{
	if (!bucket)
		return true;
	if (bucket->tokens_milli < RETRY_TOKEN_MILLI)
		return false;
	bucket->tokens_milli -= RETRY_TOKEN_MILLI;
	return true;
}

/* Takes one retry out of both budgets, or out of neither. The bucket may be NULL: unbounded. */
bool retry_take(struct retry_bucket *bucket, struct retry_tree *tree)
{
	if (tree->left == 0 || !retry_take_token(bucket))
		return false;
	tree->left--;
	return true;
}

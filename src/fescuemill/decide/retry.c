/*
 * Retry budgets. The budget of a call tree is split, never copied: the part that is passed on with
 * an attempt that may have run is spent, and only an attempt that did not run gives its part back.
 * The retries on any path from the root of the tree to a leaf therefore never exceed the budget,
 * however deep the tree is. The bucket of a service bounds the fleet-wide share of retries in an
 * outage: first attempts fill it and retries empty it.
 */
#include "fescuemill/decide/retry.h"

#include <stddef.h>

#define RETRY_TOKEN_MILLI		1000U
#define RETRY_BUCKET_CAPACITY_MILLI_MAX (10 * RETRY_TOKEN_MILLI)

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

/* Initialises a service's bucket with one retry, so that a rarely called service can retry too.
 * With a share of 0 there are no retries. */
void retry_bucket_init(struct retry_bucket *bucket, uint32_t share_permille)
{
	bucket->tokens_milli = share_permille ? RETRY_TOKEN_MILLI : 0;
	bucket->share_permille = share_permille;
	bucket->capacity_milli = RETRY_BUCKET_CAPACITY_MILLI_MAX;
}

/* Returns a node's share, in thousandths of a retry, of the retries that the fleet may accumulate.
 * Nodes do not exchange how many retries they spend, so all shares are equal. */
uint32_t retry_node_capacity_milli(uint32_t fleet_burst, uint32_t nodes)
{
	return fleet_burst * RETRY_TOKEN_MILLI / (nodes > 0 ? nodes : 1);
}

/* Sets the capacity of a bucket, in thousandths of a retry. It is at least one retry, so that even
 * the smallest share accumulates to a whole retry. */
void retry_bucket_set_capacity(struct retry_bucket *bucket, uint32_t capacity_milli)
{
	if (capacity_milli > RETRY_BUCKET_CAPACITY_MILLI_MAX)
		capacity_milli = RETRY_BUCKET_CAPACITY_MILLI_MAX;
	bucket->capacity_milli =
		capacity_milli > RETRY_TOKEN_MILLI ? capacity_milli : RETRY_TOKEN_MILLI;
	if (bucket->tokens_milli > bucket->capacity_milli)
		bucket->tokens_milli = bucket->capacity_milli;
}

/* Adds the fraction of a retry that a first attempt earns. bucket may be NULL: unlimited. */
void retry_bucket_first_attempt(struct retry_bucket *bucket)
{
	if (!bucket)
		return;
	bucket->tokens_milli += bucket->share_permille;
	if (bucket->tokens_milli > bucket->capacity_milli)
		bucket->tokens_milli = bucket->capacity_milli;
}

/* Takes one retry out of a service's bucket. Returns false if it holds less than one. bucket may be
 * NULL: unlimited. */
bool retry_take_token(struct retry_bucket *bucket)
{
	if (!bucket)
		return true;
	if (bucket->tokens_milli < RETRY_TOKEN_MILLI)
		return false;
	bucket->tokens_milli -= RETRY_TOKEN_MILLI;
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

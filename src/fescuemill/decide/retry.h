/*
 * Retry budgets: one for a whole tree of calls, passed from call to call in a header, and a token
 * bucket for each service that allows a fraction of the first attempts as retries. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_RETRY_H
#define FESCUEMILL_DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_TREE_DEFAULT 3 /* retries in a call tree whose root has no budget header */
#define RETRY_TREE_MAX	   8 /* larger budgets are cut to this */

/* One call's part of the retry budget of its call tree. */
struct retry_tree {
	uint32_t left;	 /* retries not spent and not passed on */
	uint32_t passed; /* retries passed on with the current attempt */
};

/* Token bucket of one service at one entry. */
struct retry_bucket {
	uint32_t tokens_milli;	 /* in thousandths of a retry */
	uint32_t share_permille; /* retries added per thousand first attempts */
	uint32_t capacity_milli; /* most tokens, in thousandths of a retry */
};

void retry_tree_init(struct retry_tree *tree, bool has_budget, uint32_t budget);
uint32_t retry_tree_pass(struct retry_tree *tree, bool idempotent);
void retry_tree_return(struct retry_tree *tree);
void retry_bucket_init(struct retry_bucket *bucket, uint32_t share_permille);
void retry_bucket_set_capacity(struct retry_bucket *bucket, uint32_t capacity_milli);
void retry_bucket_first_attempt(struct retry_bucket *bucket);
uint32_t retry_node_capacity_milli(uint32_t fleet_burst, uint32_t nodes);
bool retry_take_token(struct retry_bucket *bucket);
bool retry_take(struct retry_bucket *bucket, struct retry_tree *tree);

#endif

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

#define RETRY_REPEAT_PERMILLE 1000 /* chance that an attempt is a repeat: it certainly is */

/* One call's part of the retry budget of its call tree. */
struct retry_tree {
	uint32_t left;	 /* retries not spent and not passed on */
	uint32_t passed; /* retries passed on with the current attempt */
};

/* Token bucket of one service at one entry. Levels are in thousandths of a retry. */
struct retry_bucket {
	int32_t own_milli;	/* for retries of this entry */
	int32_t all_milli;	/* for these and for calls made by repeated runs; may be negative */
	int32_t capacity_milli; /* highest level of both */
	uint32_t share_permille; /* earned by own_milli per thousand first attempts */
	uint32_t limit_permille; /* earned by all_milli per thousand first attempts */
};

/* The attempts that run on one backend server, and how many of them are repeats. */
struct retry_runs {
	uint32_t count;
	uint64_t repeat_permille; /* sum over the runs */
};

void retry_tree_init(struct retry_tree *tree, bool has_budget, uint32_t budget);
uint32_t retry_tree_pass(struct retry_tree *tree, bool idempotent);
void retry_tree_return(struct retry_tree *tree);
void retry_bucket_init(struct retry_bucket *bucket, uint32_t share_permille,
		       uint32_t limit_permille);
void retry_bucket_set_shares(struct retry_bucket *bucket, uint32_t share_permille,
			     uint32_t limit_permille);
void retry_bucket_set_capacity(struct retry_bucket *bucket, uint32_t capacity_milli);
void retry_bucket_first_attempt(struct retry_bucket *bucket, uint32_t repeat_permille);
uint32_t retry_node_capacity_milli(uint32_t fleet_burst, uint32_t nodes);
bool retry_take_token(struct retry_bucket *bucket);
bool retry_take(struct retry_bucket *bucket, struct retry_tree *tree);
void retry_runs_started(struct retry_runs *runs, uint32_t repeat_permille);
void retry_runs_ended(struct retry_runs *runs, uint32_t repeat_permille);
uint32_t retry_runs_share_permille(const struct retry_runs *runs);

#endif

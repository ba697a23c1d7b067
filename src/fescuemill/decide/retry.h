/*
 * Retries: a budget for the whole call tree that travels in a header, and a budget for each
 * service as a fraction of first attempts. Pure.
 */
#ifndef FESCUEMILL_DECIDE_RETRY_H
#define FESCUEMILL_DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_TREE_DEFAULT 3 /* retries of a call tree whose root states none */
#define RETRY_TREE_MAX	   8

/* What one call may still spend of its tree's budget. */
struct retry_tree {
	uint32_t left;	 /* not yet passed on */
	uint32_t passed; /* went with the present attempt */
};

/* The budget of one service at one entry. */
struct retry_bucket {
	uint32_t tokens_milli;
	uint32_t share_permille; /* retries for each thousand first attempts */
	uint32_t most_milli;	 /* what the bucket holds */
};

void retry_tree_init(struct retry_tree *tree, bool stated, uint32_t budget);
uint32_t retry_tree_pass(struct retry_tree *tree, bool idempotent);
void retry_tree_return(struct retry_tree *tree);
void retry_bucket_init(struct retry_bucket *bucket, uint32_t share_permille);
void retry_bucket_set_most(struct retry_bucket *bucket, uint32_t most_milli);
void retry_bucket_first_attempt(struct retry_bucket *bucket);
uint32_t retry_most_milli(uint32_t fleet_burst, uint32_t nodes);
bool retry_take_token(struct retry_bucket *bucket);
bool retry_take(struct retry_bucket *bucket, struct retry_tree *tree);

#endif

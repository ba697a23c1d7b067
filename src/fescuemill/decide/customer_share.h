/*
 * Customer share: the slot time that each customer has had lately at a gate. No I/O and no clock of
 * its own.
 */
#ifndef FESCUEMILL_DECIDE_CUSTOMER_SHARE_H
#define FESCUEMILL_DECIDE_CUSTOMER_SHARE_H

#include <stdint.h>

/* Customers with state at a gate. Calls wait and run in 512 places at most; a customer that is
 * dropped counts as one that has had nothing lately. */
#define CUSTOMER_SHARE_MAX 64

/* After this time used slot time counts half: as long as the window of the classes' floors. */
#define CUSTOMER_SHARE_HALF_LIFE_US 1000000ULL

struct customer_use {
	uint64_t customer; /* id; 0: calls without a customer */
	uint64_t used_us;  /* slot time, decayed up to decayed_us */
	uint64_t decayed_us;
};

struct customer_share {
	uint32_t live; /* tickets with a customer that wait or run */
	uint32_t count;
	struct customer_use list[CUSTOMER_SHARE_MAX];
};

uint64_t customer_use_at_us(const struct customer_use *use, uint64_t now_us);
uint64_t customer_share_used_us(const struct customer_share *share, uint64_t customer,
				uint64_t now_us);
void customer_share_add(struct customer_share *share, uint64_t customer, int64_t slot_us,
			uint64_t now_us);

#endif

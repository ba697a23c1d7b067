/*
 * Customer share: the slot time that each customer has had lately at a gate.
 */
#include "fescuemill/decide/customer_share.h"

#include <stddef.h>

#define HALVINGS_MAX 40 /* after so many half-lives nothing is left */

/* Returns what is left of used slot time after a time. Within a half-life it falls evenly. */
static uint64_t decayed(uint64_t used_us, uint64_t passed_us)
{
	uint64_t halvings = passed_us / CUSTOMER_SHARE_HALF_LIFE_US;
	uint64_t rest_us = passed_us % CUSTOMER_SHARE_HALF_LIFE_US;

	if (halvings > HALVINGS_MAX)
		return 0;
	used_us >>= halvings;
	return used_us - used_us * rest_us / (2 * CUSTOMER_SHARE_HALF_LIFE_US);
}

/* Returns what a customer has used at a time. */
uint64_t customer_use_at_us(const struct customer_use *use, uint64_t now_us)
{
	return decayed(use->used_us, now_us > use->decayed_us ? now_us - use->decayed_us : 0);
}

/* Returns the state of a customer, or NULL. */
static const struct customer_use *find(const struct customer_share *share, uint64_t customer)
{
	for (uint32_t i = 0; i < share->count; i++) {
		if (share->list[i].customer == customer)
			return &share->list[i];
	}
	return NULL;
}

/* Returns a place for a customer that has no state: a free one, or that of the customer that has
 * used least. */
static struct customer_use *new_place(struct customer_share *share, uint64_t now_us)
{
	struct customer_use *least = &share->list[0];

	if (share->count < CUSTOMER_SHARE_MAX)
		return &share->list[share->count++];
	for (uint32_t i = 1; i < share->count; i++) {
		if (customer_use_at_us(&share->list[i], now_us) < customer_use_at_us(least, now_us))
			least = &share->list[i];
	}
	return least;
}

/* Returns the slot time that a customer has had lately, in microseconds of one slot. */
uint64_t customer_share_used_us(const struct customer_share *share, uint64_t customer,
				uint64_t now_us)
{
	const struct customer_use *use = find(share, customer);

	return use ? customer_use_at_us(use, now_us) : 0;
}

/* Adds slot time to what a customer has had; a negative one takes back what it was charged. */
void customer_share_add(struct customer_share *share, uint64_t customer, int64_t slot_us,
			uint64_t now_us)
{
	struct customer_use *use = (struct customer_use *)find(share, customer);

	if (!use && slot_us <= 0)
		return;
	if (!use) {
		use = new_place(share, now_us);
		*use = (struct customer_use){.customer = customer, .decayed_us = now_us};
	}
	use->used_us = customer_use_at_us(use, now_us);
	if (now_us > use->decayed_us)
		use->decayed_us = now_us;
	if (slot_us < 0 && use->used_us < (uint64_t)-slot_us)
		use->used_us = 0;
	else
		use->used_us += (uint64_t)slot_us;
}

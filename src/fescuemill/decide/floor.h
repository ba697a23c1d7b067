/*
 * Floor: the slot time guaranteed to a class with waiting work, whatever other work waits.
 */
#ifndef FESCUEMILL_DECIDE_FLOOR_H
#define FESCUEMILL_DECIDE_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

#define SLOT_MICRO	    1000000ULL /* one slot, in millionths */
#define FLOOR_TOTAL_PERCENT 25	       /* of the limit; maximum of all floors together */
#define FLOOR_MIN_PERCENT   1	       /* of the limit; minimum need of each class */
#define FLOOR_WINDOW_US	    1000000ULL /* a deficit grows no larger than one window's share */
#define FLOOR_SLACK_US	    50000      /* lag behind the floor from which a class needs service */

struct floor_account {
	uint64_t need_micro;  /* slots that the configured rate needs, in millionths */
	uint64_t share_micro; /* slots guaranteed, in millionths */
	int64_t deficit;      /* slot time behind the floor, in 1e-6 slots * us; negative: ahead */
};

uint64_t floor_need_micro(uint64_t rate_milli, uint64_t service_us, uint32_t limit);
uint64_t floor_share_micro(uint64_t need_micro, uint64_t total_micro, uint32_t limit);
uint32_t floor_bypass_slots_max(uint32_t limit);
void floor_advance(struct floor_account *account, bool waits, uint32_t running, uint64_t passed_us);
bool floor_needs_service(const struct floor_account *account, uint32_t running);
uint64_t floor_lag_us(const struct floor_account *account);

#endif

/*
 * Floor: the slot time that a class with waiting work is owed, whatever else waits.
 */
#ifndef FESCUEMILL_DECIDE_FLOOR_H
#define FESCUEMILL_DECIDE_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

#define SLOT_MICRO	    1000000ULL /* one slot, in millionths */
#define FLOOR_TOTAL_PERCENT 25	       /* of the limit, for all floors together */
#define FLOOR_LEAST_PERCENT 1	       /* of the limit, for each class */
#define FLOOR_WINDOW_US	    1000000ULL
#define FLOOR_SLACK_US	    50000 /* of the window, that a class may lag before it is owed */

struct floor_account {
	uint64_t need_micro;  /* slots that the stated amount takes, in millionths */
	uint64_t share_micro; /* slots owed, in millionths */
	int64_t owed;	      /* millionths of a slot times microseconds; negative when ahead */
};

uint64_t floor_need_micro(uint64_t rate_milli, uint64_t service_us, uint32_t limit);
uint64_t floor_share_micro(uint64_t need_micro, uint64_t total_micro, uint32_t limit);
uint32_t floor_slots(uint32_t limit);
void floor_advance(struct floor_account *account, bool waits, uint32_t running, uint64_t passed_us);
bool floor_is_owed(const struct floor_account *account, uint32_t running);
uint64_t floor_lag_us(const struct floor_account *account);

#endif

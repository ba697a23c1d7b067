/*
 * Allotment messages: rows of fixed size, as many as fit one gossip packet. An entry reports its
 * use of customers to their home; the home answers with words. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_ALLOTMENT_WIRE_H
#define FESCUEMILL_DECIDE_ALLOTMENT_WIRE_H

#include "fescuemill/base/error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ALLOTMENT_BYTES_MAX    1100 /* maximum size of a message */
#define ALLOTMENT_REPORT_BYTES 27
#define ALLOTMENT_WORD_BYTES   28
#define ALLOTMENT_REPORTS_MAX  40 /* rows of a message of reports */
#define ALLOTMENT_WORDS_MAX    39 /* rows of a message of words */
#define ALLOTMENT_SHARE_ONE    65535U
#define ALLOTMENT_TIME_UNIT_US 10000ULL /* unit of times in a message */

/* What an entry has counted for a customer. Counts are cumulative and wrap at 32 bits, so that a
 * lost report does no harm. */
struct allotment_report {
	uint64_t customer;
	uint32_t epoch;	     /* identifies the counts; new when they start from 0 again */
	uint32_t offered;    /* calls, refused ones included */
	uint32_t admitted;   /* calls let through */
	uint32_t given_back; /* of those, calls that then were not run */
	uint16_t recent;     /* let through in the last 5 s, at most 65,535 */
	bool is_limited;     /* the entry's last word had a share below 1 */
	bool was_told;	     /* the entry has had a word of a home in the last 5 s */
	bool is_waiting;     /* a call waits for the answer */
};

/* What a home tells an entry about a customer. */
struct allotment_word {
	uint64_t customer;
	uint32_t epoch;	     /* of the report that is answered */
	uint32_t used;	     /* admitted less given back, as the home has counted them */
	uint32_t rate_milli; /* the rate that the share was computed for */
	uint16_t share;	     /* part of the offered calls to admit, of ALLOTMENT_SHARE_ONE */
	uint16_t credit;     /* calls that may be admitted beyond `used` */
	uint16_t interval;   /* time to the next report, in ALLOTMENT_TIME_UNIT_US */
	uint16_t wait;	     /* time until the bucket has room, in ALLOTMENT_TIME_UNIT_US */
};

enum allotment_message_type {
	ALLOTMENT_REPORTS = 1,
	ALLOTMENT_WORDS,
};

struct allotment_message {
	enum allotment_message_type type;
	uint32_t count;
	union {
		struct allotment_report reports[ALLOTMENT_REPORTS_MAX];
		struct allotment_word words[ALLOTMENT_WORDS_MAX];
	};
};

size_t allotment_write(const struct allotment_message *message, uint8_t *data);
int allotment_read(struct allotment_message *message, const uint8_t *data, size_t size,
		   struct error *err);

#endif

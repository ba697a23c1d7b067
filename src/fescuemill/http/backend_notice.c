/*
 * Notices of a backend server in the headers of its answers.
 */
#include "fescuemill/http/dialect.h"

#include <string.h>

#define MILLI_DIGITS   3	   /* digits after the point that count */
#define RATE_MILLI_MAX 1000000000U /* a million calls a second */

/* Reads a decimal number as thousandths, cut off at RATE_MILLI_MAX. Digits after the third one of
 * the fraction are checked and ignored. Returns false if it is not a number of this form. */
static bool read_milli(struct wire_bytes text, uint32_t *milli)
{
	const uint8_t *point = memchr(text.data, '.', text.size);
	uint32_t whole = point ? (uint32_t)(point - text.data) : text.size;
	uint32_t fraction = point ? text.size - whole - 1 : 0;
	uint64_t value = 0;

	if (whole == 0 || (point && fraction == 0))
		return false;
	for (uint32_t i = 0; i < whole + fraction + (point ? 1 : 0); i++) {
		if (i == whole)
			continue;
		if (text.data[i] < '0' || text.data[i] > '9')
			return false;
		if (i <= whole + MILLI_DIGITS)
			value = value * 10 + (uint64_t)(text.data[i] - '0');
		if (value > RATE_MILLI_MAX)
			value = RATE_MILLI_MAX;
	}
	for (uint32_t i = fraction; i < MILLI_DIGITS; i++)
		value *= 10;
	*milli = (uint32_t)(value < RATE_MILLI_MAX ? value : RATE_MILLI_MAX);
	return true;
}

/* Reads a limit and a leaving from the values of headers. */
void backend_notice_read(struct wire_bytes limit, struct wire_bytes leaving,
			 struct backend_notice *out)
{
	memset(out, 0, sizeof(*out));
	out->is_leaving = leaving.data && leaving.size == 1 && leaving.data[0] == '1';
	if (!limit.data)
		return;
	out->rate =
		read_milli(limit, &out->rate_milli) ? BACKEND_RATE_STATED : BACKEND_RATE_INVALID;
}

/*
 * Reads a customer's key from the head of a request.
 */
#include "fescuemill/http/credential.h"

#include <string.h>
#include <strings.h>

static const char scheme[] = "bearer";

static bool is_blank(uint8_t byte)
{
	return byte == ' ' || byte == '\t';
}

/* Returns what follows the scheme in the value of an Authorization header, without blanks around
 * it.
 */
static struct wire_bytes bearer_token(struct wire_bytes value)
{
	size_t prefix = sizeof(scheme) - 1;

	if (value.size <= prefix || strncasecmp((const char *)value.data, scheme, prefix) != 0 ||
	    !is_blank(value.data[prefix]))
		return (struct wire_bytes){NULL, 0};
	value.data += prefix;
	value.size -= (uint32_t)prefix;
	while (value.size > 0 && is_blank(value.data[0])) {
		value.data++;
		value.size--;
	}
	while (value.size > 0 && is_blank(value.data[value.size - 1]))
		value.size--;
	return value;
}

/* Reads the key of a request. With two Authorization headers it is unclear which one counts, and
 * another party on the way may have taken the other one. */
struct wire_bytes credential_read(const struct call_head *head)
{
	struct wire_bytes value = {NULL, 0};
	uint32_t count = 0;

	for (uint32_t i = 0; i < head->header_count; i++) {
		if (!wire_bytes_equal_nocase(head->headers[i].name, HEADER_AUTHORIZATION))
			continue;
		value = head->headers[i].value;
		count++;
	}
	return count == 1 ? bearer_token(value) : (struct wire_bytes){NULL, 0};
}

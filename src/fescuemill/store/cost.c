/*
 * Cost: each segment is counted with its headers and an acknowledgement of its own, which is the
 * most that TCP sends without loss.
 */
#include "fescuemill/store/cost.h"

#include "fescuemill/decide/budget.h"

#define SEGMENT_BYTES 1448 /* of payload in an Ethernet frame beside the headers */

/* Gives the cost of bytes sent one way, acknowledgements included. */
uint32_t cost_of_payload(size_t size)
{
	size_t segments = (size + SEGMENT_BYTES - 1) / SEGMENT_BYTES;

	return (uint32_t)(size + segments * 2 * BUDGET_SEGMENT_HEADER_BYTES);
}

/* Gives the cost of a request with the connection that is opened for it. */
uint32_t cost_of_request(size_t size)
{
	return COST_CONNECTION_BYTES + cost_of_payload(size);
}

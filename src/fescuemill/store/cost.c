/*
 * Cost: counts each TCP segment with its headers and an acknowledgement of its own. Without packet
 * loss TCP sends no more than that.
 */
#include "fescuemill/store/cost.h"

#include "fescuemill/decide/budget.h"

#define SEGMENT_BYTES 1448 /* payload of a full Ethernet frame, without IP and TCP headers */

/* Returns the bytes on the network for size bytes sent one way, with their acknowledgements. */
uint32_t cost_of_payload(size_t size)
{
	size_t segments = (size + SEGMENT_BYTES - 1) / SEGMENT_BYTES;

	return (uint32_t)(size + segments * 2 * BUDGET_SEGMENT_HEADER_BYTES);
}

/* Returns the bytes on the network for a request and the connection that is opened for it. */
uint32_t cost_of_request(size_t size)
{
	return COST_CONNECTION_BYTES + cost_of_payload(size);
}

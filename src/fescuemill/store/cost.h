/*
 * Cost: bytes that a platform call takes on the network, with IP and TCP headers. No I/O.
 */
#ifndef FESCUEMILL_STORE_COST_H
#define FESCUEMILL_STORE_COST_H

#include <stddef.h>
#include <stdint.h>

/* Opening and closing a connection: SYN and SYN-ACK of 60 bytes, five empty segments of 52. */
#define COST_CONNECTION_BYTES 380

/* Returns the bytes on the network for sending size bytes one way over an open connection. */
uint32_t cost_of_payload(size_t size);
/* Returns the bytes on the network for a request of size bytes over a connection of its own. */
uint32_t cost_of_request(size_t size);

#endif

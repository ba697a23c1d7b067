/*
 * Cost: the bytes that a platform call costs on the network, with the headers of IP and TCP. Pure.
 */
#ifndef FESCUEMILL_STORE_COST_H
#define FESCUEMILL_STORE_COST_H

#include <stddef.h>
#include <stdint.h>

/* Opening and closing a connection: SYN and SYN-ACK of 60 bytes, five bare segments of 52. */
#define COST_CONNECTION_BYTES 380

/* Gives the cost of sending `size` bytes one way over an open connection. */
uint32_t cost_of_payload(size_t size);
/* Gives the cost of a connection and a request of `size` bytes over it. */
uint32_t cost_of_request(size_t size);

#endif

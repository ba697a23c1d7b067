/*
 * Endpoints of ZeroMQ sockets as text.
 */
#ifndef FESCUEMILL_WIRE_ENDPOINT_TEXT_H
#define FESCUEMILL_WIRE_ENDPOINT_TEXT_H

#include <stdint.h>

#define ENDPOINT_TEXT_BYTES 40

void endpoint_text(char *text, uint32_t ip, uint16_t port);

#endif

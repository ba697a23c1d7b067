/*
 * Endpoints of ZeroMQ sockets as text.
 */
#include "fescuemill/wire/endpoint_text.h"

#include <arpa/inet.h>
#include <stdio.h>

/* Writes an address as a ZeroMQ endpoint of at most ENDPOINT_TEXT_BYTES. Port 0 stands for any free
 * port. */
void endpoint_text(char *text, uint32_t ip, uint16_t port)
{
	struct in_addr address = {.s_addr = htonl(ip)};
	char dotted[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address, dotted, sizeof(dotted));
	if (port)
		snprintf(text, ENDPOINT_TEXT_BYTES, "tcp://%s:%u", dotted, port);
	else
		snprintf(text, ENDPOINT_TEXT_BYTES, "tcp://%s:*", dotted);
}

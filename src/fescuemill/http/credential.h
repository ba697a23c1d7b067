/*
 * Reads a customer's key from the head of a request.
 */
#ifndef FESCUEMILL_HTTP_CREDENTIAL_H
#define FESCUEMILL_HTTP_CREDENTIAL_H

#include "fescuemill/http/call_request.h"

#define HEADER_AUTHORIZATION "authorization"

/* Returns the key of "Authorization: Bearer KEY", or empty bytes if the head has no such header,
 * more than one Authorization header, or another scheme. */
struct wire_bytes credential_read(const struct call_head *head);

#endif

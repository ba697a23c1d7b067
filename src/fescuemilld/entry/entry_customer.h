/*
 * Customers at the entry: finds the customer of a request by its key, and changes the request so
 * that no key reaches a backend server and no caller can state another customer's name.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_CUSTOMER_H
#define FESCUEMILLD_ENTRY_ENTRY_CUSTOMER_H

#include "fescuemilld/entry/entry_defs.h"

/* Sets the customer of a request in `out`. `route` is NULL if the request names its service.
 * Returns REASON_NONE, or why the request is refused. */
enum call_reason entry_customer_find(const struct entry *entry, const struct call_request *req,
				     const struct route *route, struct call_class *out);
/* Sets the class of a call of a customer, whose rank counts in place of the route's. */
void entry_customer_set_class(const struct entry *entry, const struct route *route,
			      struct call_class *out);
/* Replaces *req by the request that backend servers get, in the caller call's arena. Without
 * configured customers it stays the same. Returns REASON_NONE, or why the request is refused. */
enum call_reason entry_customer_prepare(const struct entry *entry, struct caller_call *caller,
					struct call_class *out, const struct call_request **req);

#endif

/*
 * Finds the service, the class and the limits that apply to a request.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_CLASSIFY_H
#define FESCUEMILLD_ENTRY_ENTRY_CLASSIFY_H

#include "fescuemilld/entry/entry_defs.h"

/* Returns REASON_NONE, or why the request is refused. */
enum call_reason entry_classify(const struct entry *entry, const struct call_request *req,
				struct call_class *out);

#endif

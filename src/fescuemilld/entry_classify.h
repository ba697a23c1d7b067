/*
 * Entry classify: finds the service, the class and the bounds of a request.
 */
#ifndef FESCUEMILLD_ENTRY_CLASSIFY_H
#define FESCUEMILLD_ENTRY_CLASSIFY_H

#include "fescuemilld/entry_defs.h"

/* Gives REASON_NONE, or why the request cannot be taken. */
enum call_reason entry_classify(const struct entry *entry, const struct call_request *req,
				struct call_class *out);

#endif

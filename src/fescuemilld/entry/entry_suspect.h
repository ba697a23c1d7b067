/*
 * Entry suspect: refuses calls whose request ends the backend servers that run it.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_SUSPECT_H
#define FESCUEMILLD_ENTRY_ENTRY_SUSPECT_H

#include "fescuemilld/entry/entry_defs.h"

/* Returns true if a request is refused, and in `retry_ms` when it may be tried again. `customer` is
 * the id of its customer; 0: none. */
bool entry_suspect_is_refused(struct entry *entry, const struct call_request *req,
			      uint64_t customer, uint32_t *retry_ms);

#endif

/*
 * Ledger: counts how often each call started and completed, and how often each attempt started.
 */
#ifndef STANDIN_BACKEND_LEDGER_H
#define STANDIN_BACKEND_LEDGER_H

#include <jansson.h>

void ledger_start(const char *call, const char *attempt);
void ledger_finish(const char *call);
json_t *ledger_json(void);

#endif

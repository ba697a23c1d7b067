/*
 * State that the entry keeps for each service in use: choice of a gate, retry budget, key owners.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_SERVICE_H
#define FESCUEMILLD_ENTRY_ENTRY_SERVICE_H

#include "fescuemilld/entry/entry_defs.h"

void entry_service_settings(const struct settings *settings, uint64_t own_id,
			    struct choice_settings *out);
struct entry_service *entry_service_get(struct entry *entry, const char *name, struct error *err);
void entry_service_refresh(struct entry *entry, struct entry_service *service);
void entry_service_preconnect(struct entry *entry, struct entry_service *service);
void entry_services_free(struct entry *entry);

#endif

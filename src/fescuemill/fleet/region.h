/*
 * Regions: whether the link to each other region works, as this node sees it. A region alone
 * decides which of its members live; when the link to it is down, the others only know that they
 * cannot reach it.
 */
#ifndef FESCUEMILL_FLEET_REGION_H
#define FESCUEMILL_FLEET_REGION_H

#include "fescuemill/decide/call_defs.h"

#define REGIONS_MAX		16
#define REGION_FAILURES_TO_LOSE 2 /* failed probes in a row that make a region unreachable */
#define REGION_RETRY_PERIOD_US	(1000ULL * 1000)
#define REGION_QUIET_PERIOD_US	(5000ULL * 1000) /* unheard for this long: probe it */

struct region {
	char name[REGION_NAME_BYTES];
	uint32_t failures;  /* probes that failed since anything was last heard */
	uint64_t heard_us;  /* when anything last came from it, or it was first met */
	uint64_t probed_us; /* when it was last probed because it was quiet or had failed */
};

struct region_list {
	uint32_t count;
	struct region items[REGIONS_MAX];
};

/* Notes that a region exists. */
void region_meet(struct region_list *list, const char *name, uint64_t now_us);
void region_note_heard(struct region_list *list, const char *name, uint64_t now_us);
void region_note_failure(struct region_list *list, const char *name);
bool region_is_reachable(const struct region_list *list, const char *name);
/* Gives a region that was quiet or failed and should be probed now, or NULL. */
const char *region_next_due(struct region_list *list, uint64_t now_us);

#endif

/*
 * Regions: whether the link from this node to each other region works. Only the members of a region
 * decide which of its members are alive; when the link fails, nodes elsewhere only know that they
 * cannot reach the region.
 */
#ifndef FESCUEMILL_FLEET_REGION_H
#define FESCUEMILL_FLEET_REGION_H

#include "fescuemill/decide/call_defs.h"

#define REGIONS_MAX		    16
#define REGION_UNREACHABLE_FAILURES 2		     /* consecutive failed probes of its members */
#define REGION_RETRY_PERIOD_US	    (1000ULL * 1000) /* between probes after a failed one */
#define REGION_RESEND_PERIOD_US	    (100ULL * 1000)  /* until a probe that could not be sent */
/* Silent for this long: probe it. Together with the probes that must fail, a link that is cut is
 * noticed within 5 s. */
#define REGION_QUIET_PERIOD_US (2500ULL * 1000)

struct region {
	char name[REGION_NAME_BYTES];
	uint32_t failures;	   /* failed probes since the last packet from the region */
	uint64_t last_received_us; /* when its last packet arrived, or it was added */
	uint64_t probed_us;	   /* when it was last probed after silence or a failure */
};

struct region_list {
	uint32_t count;
	struct region items[REGIONS_MAX];
};

/* Adds a region unless it is in the list. */
void region_add(struct region_list *list, const char *name, uint64_t now_us);
void region_record_packet(struct region_list *list, const char *name, uint64_t now_us);
void region_record_failure(struct region_list *list, const char *name);
void region_record_unsent(struct region_list *list, const char *name, uint64_t now_us);
bool region_is_reachable(const struct region_list *list, const char *name);
/* Returns a region that should be probed now, as it was silent or its last probe failed, or NULL.
 * The region counts as probed. */
const char *region_next_due(struct region_list *list, uint64_t now_us);

#endif

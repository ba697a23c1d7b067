/*
 * Regions: a short list, in the order in which regions were added.
 */
#include "fescuemill/fleet/region.h"

#include <string.h>

/* Returns a region, or NULL. */
static struct region *find(struct region_list *list, const char *name)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (strcmp(list->items[i].name, name) == 0)
			return &list->items[i];
	}
	return NULL;
}

/* Adds a region unless it is in the list. Beyond REGIONS_MAX, further regions are not monitored. */
void region_add(struct region_list *list, const char *name, uint64_t now_us)
{
	struct region *region;

	if (list->count == REGIONS_MAX || find(list, name))
		return;
	region = &list->items[list->count++];
	memset(region, 0, sizeof(*region));
	memcpy(region->name, name, strnlen(name, sizeof(region->name) - 1));
	region->last_received_us = now_us;
}

/* Records that a packet arrived from a region, which proves that its link works. */
void region_record_packet(struct region_list *list, const char *name, uint64_t now_us)
{
	struct region *region = find(list, name);

	if (!region)
		return;
	region->failures = 0;
	region->last_received_us = now_us;
}

/* Records that a probe of a member of a region failed. */
void region_record_failure(struct region_list *list, const char *name)
{
	struct region *region = find(list, name);

	if (region)
		region->failures++;
}

/* Returns true if a region can be reached; a region that is not in the list counts as reachable. */
bool region_is_reachable(const struct region_list *list, const char *name)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (strcmp(list->items[i].name, name) == 0)
			return list->items[i].failures < REGION_UNREACHABLE_FAILURES;
	}
	return true;
}

/* Returns true if a region should be probed: REGION_RETRY_PERIOD_US after a failed probe, otherwise
 * when it has been silent and not probed for REGION_QUIET_PERIOD_US. */
static bool is_due(const struct region *region, uint64_t now_us)
{
	if (region->failures > 0)
		return now_us >= region->probed_us + REGION_RETRY_PERIOD_US;
	return now_us >= region->last_received_us + REGION_QUIET_PERIOD_US &&
	       now_us >= region->probed_us + REGION_QUIET_PERIOD_US;
}

/* Makes a region due again REGION_RESEND_PERIOD_US later: its probe could not be sent. */
void region_record_unsent(struct region_list *list, const char *name, uint64_t now_us)
{
	struct region *region = find(list, name);
	uint64_t period_us;

	if (!region)
		return;
	period_us = region->failures > 0 ? REGION_RETRY_PERIOD_US : REGION_QUIET_PERIOD_US;
	region->probed_us = now_us + REGION_RESEND_PERIOD_US;
	region->probed_us -= region->probed_us < period_us ? region->probed_us : period_us;
}

/* Returns one region that should be probed and records the probe, or NULL. */
const char *region_next_due(struct region_list *list, uint64_t now_us)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (!is_due(&list->items[i], now_us))
			continue;
		list->items[i].probed_us = now_us;
		return list->items[i].name;
	}
	return NULL;
}

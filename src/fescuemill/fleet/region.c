/*
 * Regions: a short list, filled as regions are first met.
 */
#include "fescuemill/fleet/region.h"

#include <string.h>

/* Finds a region, or NULL. */
static struct region *find(struct region_list *list, const char *name)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (strcmp(list->items[i].name, name) == 0)
			return &list->items[i];
	}
	return NULL;
}

/* Adds a region that is not known yet; beyond REGIONS_MAX regions are not watched. */
void region_meet(struct region_list *list, const char *name, uint64_t now_us)
{
	struct region *region;

	if (list->count == REGIONS_MAX || find(list, name))
		return;
	region = &list->items[list->count++];
	memset(region, 0, sizeof(*region));
	memcpy(region->name, name, strnlen(name, sizeof(region->name) - 1));
	region->heard_us = now_us;
}

/* Notes that something came from a region: its link works. */
void region_note_heard(struct region_list *list, const char *name, uint64_t now_us)
{
	struct region *region = find(list, name);

	if (!region)
		return;
	region->failures = 0;
	region->heard_us = now_us;
}

/* Notes that a probe into a region failed. */
void region_note_failure(struct region_list *list, const char *name)
{
	struct region *region = find(list, name);

	if (region)
		region->failures++;
}

/* Tells whether a region can be reached; one that was never met counts as reachable. */
bool region_is_reachable(const struct region_list *list, const char *name)
{
	for (uint32_t i = 0; i < list->count; i++) {
		if (strcmp(list->items[i].name, name) == 0)
			return list->items[i].failures < REGION_FAILURES_TO_LOSE;
	}
	return true;
}

/* Tells whether a region should be probed: soon after a failure, else when it has been quiet. */
static bool is_due(const struct region *region, uint64_t now_us)
{
	if (region->failures > 0)
		return now_us >= region->probed_us + REGION_RETRY_PERIOD_US;
	return now_us >= region->heard_us + REGION_QUIET_PERIOD_US &&
	       now_us >= region->probed_us + REGION_QUIET_PERIOD_US;
}

/* Gives one region that is due and notes that it is being probed. */
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

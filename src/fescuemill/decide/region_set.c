/*
 * Sets of regions.
 */
#include "fescuemill/decide/region_set.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Returns the number that stands for a region in sets and messages. */
uint32_t region_id_of(const char *name)
{
	return (uint32_t)XXH3_64bits(name, strlen(name));
}

static bool contains(const struct region_set *set, uint32_t region)
{
	for (uint8_t i = 0; i < set->count; i++) {
		if (set->regions[i] == region)
			return true;
	}
	return false;
}

bool region_set_add(struct region_set *set, uint32_t region)
{
	set->is_limited = true;
	if (contains(set, region))
		return true;
	if (set->count == REGION_SET_MAX)
		return false;
	set->regions[set->count++] = region;
	return true;
}

bool region_set_allows(const struct region_set *set, uint32_t region)
{
	return !set->is_limited || contains(set, region);
}

void region_set_intersect(struct region_set *set, const struct region_set *other)
{
	uint8_t kept = 0;

	if (!other->is_limited)
		return;
	if (!set->is_limited) {
		*set = *other;
		return;
	}
	for (uint8_t i = 0; i < set->count; i++) {
		if (contains(other, set->regions[i]))
			set->regions[kept++] = set->regions[i];
	}
	set->count = kept;
}

/*
 * Region set: the regions in which a call may be served. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_REGION_SET_H
#define FESCUEMILL_DECIDE_REGION_SET_H

#include <stdbool.h>
#include <stdint.h>

#define REGION_SET_MAX 16

/* If is_limited is false, every region is allowed. A limited set may be empty: none is. */
struct region_set {
	bool is_limited;
	uint8_t count;
	uint32_t regions[REGION_SET_MAX]; /* region_id_of() the names */
};

uint32_t region_id_of(const char *name);
/* Adds a region and limits the set to its regions. Returns false if the set is full. */
bool region_set_add(struct region_set *set, uint32_t region);
bool region_set_allows(const struct region_set *set, uint32_t region);
/* Limits a set to the regions that the other one allows, too. */
void region_set_intersect(struct region_set *set, const struct region_set *other);

#endif

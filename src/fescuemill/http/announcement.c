/*
 * Announcement: order of two announcements, and completion of partial ones. Pure.
 */
#include "fescuemill/http/announcement.h"

#include <string.h>

/* Returns true if both announcements state an instance and the two differ. */
static bool is_other_instance(const struct announcement *a, const struct announcement *b)
{
	return a->instance[0] && b->instance[0] && strcmp(a->instance, b->instance) != 0;
}

/* Compares an announcement with the latest accepted one (`before`), whether or not the lease of
 * that one has expired. Instances are ordered by their start time, announcements of one instance by
 * their sequence number. A partial announcement is stale only if it names another instance. */
enum announcement_order announcement_compare(const struct announcement *before,
					     const struct announcement *update)
{
	if (update->is_partial)
		return is_other_instance(before, update) ? ANNOUNCEMENT_STALE : ANNOUNCEMENT_NEWER;
	if (before->started_ms && update->started_ms && before->started_ms != update->started_ms)
		return update->started_ms > before->started_ms ? ANNOUNCEMENT_NEW_START
							       : ANNOUNCEMENT_STALE;
	if (is_other_instance(before, update))
		return ANNOUNCEMENT_NEW_START;
	if (update->sequence && update->sequence <= before->sequence)
		return ANNOUNCEMENT_STALE;
	return ANNOUNCEMENT_NEWER;
}

/* Fills the values missing in a partial announcement; keeps its state and, if `before` states no
 * instance, its instance. Does nothing to a complete announcement. */
void announcement_fill_partial(struct announcement *update, const struct announcement *before)
{
	enum backend_state state = update->state;
	struct announcement stated = *update;

	if (!update->is_partial)
		return;
	*update = *before;
	update->state = state;
	update->is_partial = false;
	if (!update->instance[0])
		memcpy(update->instance, stated.instance, sizeof(update->instance));
}

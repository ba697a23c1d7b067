/*
 * Announcement: which of two announcements is the newer one. Pure.
 */
#include "fescuemill/http/announcement.h"

#include <string.h>

/* Tells whether two announcements name different starts of the backend server. */
static bool is_other_instance(const struct announcement *a, const struct announcement *b)
{
	return a->instance[0] && b->instance[0] && strcmp(a->instance, b->instance) != 0;
}

/* Orders an announcement against the latest that was taken, whether or not its lease still holds. A
 * start is ordered by its time; within one start the sequence counts. */
enum announcement_order announcement_order_of(const struct announcement *before,
					      const struct announcement *news)
{
	if (news->is_partial)
		return is_other_instance(before, news) ? ANNOUNCEMENT_STALE : ANNOUNCEMENT_NEXT;
	if (before->started_ms && news->started_ms && before->started_ms != news->started_ms)
		return news->started_ms > before->started_ms ? ANNOUNCEMENT_NEW_START
							     : ANNOUNCEMENT_STALE;
	if (is_other_instance(before, news))
		return ANNOUNCEMENT_NEW_START;
	if (news->sequence && news->sequence <= before->sequence)
		return ANNOUNCEMENT_STALE;
	return ANNOUNCEMENT_NEXT;
}

/* Completes a partial announcement. */
void announcement_complete(struct announcement *news, const struct announcement *before)
{
	enum backend_state state = news->state;
	struct announcement stated = *news;

	if (!news->is_partial)
		return;
	*news = *before;
	news->state = state;
	news->is_partial = false;
	if (!news->instance[0])
		memcpy(news->instance, stated.instance, sizeof(news->instance));
}

/*
 * Homes of keys: rendezvous hashing over the members of a service. A member that left on its own
 * word gives its keys up at once. One that is dead keeps them, unanswered, until a majority of the
 * members was alive for the retention: it may run calls beyond a broken link. There, with less than
 * half of the members alive or in a pause, it stops to take keys after half the retention.
 */
#include "fescuemill/decide/key_home.h"

#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>
#include <string.h>

/* Makes a view without members. Errors: ERROR_MEMORY. */
int key_view_init(struct key_view *view, uint32_t capacity, struct error *err)
{
	memset(view, 0, sizeof(*view));
	view->seats = calloc(capacity + 1, sizeof(*view->seats));
	if (!view->seats)
		return error_set(err, ERROR_MEMORY, "%u members", capacity);
	view->capacity = capacity;
	return 0;
}

/* Frees the view's memory. */
void key_view_release(struct key_view *view)
{
	free(view->seats);
	view->seats = NULL;
}

/* Finds the seat of a node; NULL when it has none. */
static struct key_seat *seat_find(const struct key_view *view, uint64_t node_id)
{
	for (uint32_t i = 0; i < view->count; i++) {
		if (view->seats[i].node_id == node_id)
			return &view->seats[i];
	}
	return NULL;
}

/* Tells whether a node is in a list of members. */
static bool is_listed(const struct key_member *members, uint32_t count, uint64_t node_id)
{
	for (uint32_t i = 0; i < count; i++) {
		if (members[i].node_id == node_id)
			return true;
	}
	return false;
}

/* Moves a seat to a state. */
static void seat_move(struct key_seat *seat, enum key_member_state state, uint64_t now_ms)
{
	if (seat->state == state)
		return;
	seat->state = state;
	seat->since_ms = now_ms;
}

/* Counts the members that did not leave, and those of them that are alive. */
static void seats_count(const struct key_view *view, uint32_t *alive, uint32_t *all)
{
	*alive = 0;
	*all = 0;
	for (uint32_t i = 0; i < view->count; i++) {
		*alive += view->seats[i].state == KEY_MEMBER_ALIVE;
		*all += view->seats[i].state != KEY_MEMBER_LEFT;
	}
}

/* Gives when a seat's keys moved elsewhere, or will, unless it comes back: UINT64_MAX for never. */
static uint64_t seat_given_up_ms(const struct key_view *view, const struct key_settings *settings,
				 const struct key_seat *seat)
{
	uint64_t dead_for_good_ms = seat->since_ms + settings->retention_ms;

	switch (seat->state) {
	case KEY_MEMBER_LEFT:
		return seat->since_ms;
	case KEY_MEMBER_DEAD:
		if (view->no_majority_ms != 0 && view->no_majority_ms < dead_for_good_ms)
			return UINT64_MAX;
		return dead_for_good_ms;
	default:
		return UINT64_MAX;
	}
}

/* Drops the seats whose keys moved so long ago that it does not matter any more. */
static void seats_prune(struct key_view *view, const struct key_settings *settings, uint64_t now_ms)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		uint64_t up_ms = seat_given_up_ms(view, settings, &view->seats[i]);

		if (up_ms != UINT64_MAX &&
		    now_ms > up_ms + settings->retention_ms + 2 * settings->spread_ms)
			continue;
		view->seats[kept++] = view->seats[i];
	}
	view->count = kept;
}

/* Notes that a majority is alive again: the dead that were not given up before must now be dead for
 * the whole retention. */
static void majority_regained(struct key_view *view, const struct key_settings *settings,
			      uint64_t now_ms)
{
	for (uint32_t i = 0; i < view->count; i++) {
		struct key_seat *seat = &view->seats[i];

		if (seat->state == KEY_MEMBER_DEAD &&
		    seat_given_up_ms(view, settings, seat) == UINT64_MAX)
			seat->since_ms = now_ms;
	}
	view->no_majority_ms = 0;
}

/* Tells whether this node has seen less than half of the members alive for so long, or has looked
 * at none for so long, that others may soon take its keys. */
static bool is_cut_off(const struct key_view *view, const struct key_settings *settings,
		       uint64_t now_ms)
{
	return now_ms >= view->contact_ms + settings->retention_ms / 2;
}

/* Notes how many members are alive now. */
static void majority_update(struct key_view *view, const struct key_settings *settings,
			    uint64_t now_ms)
{
	uint32_t alive;
	uint32_t all;

	seats_count(view, &alive, &all);
	if (2 * alive <= all && view->no_majority_ms == 0)
		view->no_majority_ms = now_ms;
	if (2 * alive > all && view->no_majority_ms != 0)
		majority_regained(view, settings, now_ms);
	if (2 * alive < all)
		return;
	if (is_cut_off(view, settings, now_ms))
		view->complete_ms = now_ms;
	view->contact_ms = now_ms;
}

/* Notes what this node says of itself. When it serves again after it had left, others had its keys
 * meanwhile. */
static void own_update(struct key_view *view, const struct key_settings *settings,
		       const struct key_member *member, uint64_t now_ms)
{
	const struct key_seat *own = seat_find(view, settings->own_id);

	if (member->node_id != settings->own_id || member->state != KEY_MEMBER_ALIVE)
		return;
	if (!own || own->state != KEY_MEMBER_ALIVE)
		view->complete_ms = now_ms;
}

/* Sets the members of the service as they are known now. One that was known and is not listed any
 * more counts as dead. Errors: ERROR_LIMIT when they do not fit; the rest is then as before. */
int key_view_set(struct key_view *view, const struct key_settings *settings,
		 const struct key_member *members, uint32_t count, uint64_t now_ms,
		 struct error *err)
{
	for (uint32_t i = 0; i < view->count; i++) {
		if (view->seats[i].state == KEY_MEMBER_ALIVE &&
		    !is_listed(members, count, view->seats[i].node_id))
			seat_move(&view->seats[i], KEY_MEMBER_DEAD, now_ms);
	}
	for (uint32_t i = 0; i < count; i++) {
		struct key_seat *seat = seat_find(view, members[i].node_id);

		own_update(view, settings, &members[i], now_ms);
		if (!seat && view->count == view->capacity)
			return error_set(err, ERROR_LIMIT, "more than %u members", view->capacity);
		if (!seat) {
			seat = &view->seats[view->count++];
			*seat = (struct key_seat){members[i].node_id, now_ms, 0, members[i].state};
		}
		seat_move(seat, members[i].state, now_ms);
		if (seat->state == KEY_MEMBER_ALIVE)
			seat->alive_ms = now_ms;
	}
	majority_update(view, settings, now_ms);
	seats_prune(view, settings, now_ms);
	return 0;
}

/* Gives the rank of a node for a key; the highest is its home. */
static uint64_t seat_score(const struct key_seat *seat, const struct key_hash *hash)
{
	return slot_hash(hash->high ^ seat->node_id, hash->low);
}

/* Finds the home of a key, which may be dead; NULL when there is none. */
const struct key_seat *key_view_home(const struct key_view *view,
				     const struct key_settings *settings,
				     const struct key_hash *hash, uint64_t now_ms)
{
	const struct key_seat *home = NULL;

	for (uint32_t i = 0; i < view->count; i++) {
		const struct key_seat *seat = &view->seats[i];

		if (seat_given_up_ms(view, settings, seat) <= now_ms)
			continue;
		if (!home || seat_score(seat, hash) > seat_score(home, hash))
			home = seat;
	}
	return home;
}

/* Gives the last time at which a key came to the own node because another gave it up, or at which
 * the own node was no longer cut off; 0 when neither is remembered. */
uint64_t key_view_moved_ms(const struct key_view *view, const struct key_settings *settings,
			   const struct key_hash *hash, uint64_t now_ms)
{
	const struct key_seat *own = seat_find(view, settings->own_id);
	uint64_t moved_ms = view->complete_ms;

	for (uint32_t i = 0; own && i < view->count; i++) {
		const struct key_seat *seat = &view->seats[i];
		uint64_t up_ms = seat_given_up_ms(view, settings, seat);

		if (up_ms <= now_ms && up_ms > moved_ms &&
		    seat_score(seat, hash) > seat_score(own, hash))
			moved_ms = up_ms;
	}
	return moved_ms;
}

/* Tells whether this node serves a key only because another gave it up. */
static bool is_taken_over(const struct key_view *view, const struct key_settings *settings,
			  const struct key_hash *hash, uint64_t now_ms)
{
	const struct key_seat *own = seat_find(view, settings->own_id);

	for (uint32_t i = 0; own && i < view->count; i++) {
		const struct key_seat *seat = &view->seats[i];

		if (seat_given_up_ms(view, settings, seat) <= now_ms &&
		    seat_score(seat, hash) > seat_score(own, hash))
			return true;
	}
	return false;
}

/* Tells whether a member may still serve keys that are this node's now, because it was not seen
 * alive since this node joined and so may not know of it. */
static bool may_be_unknown(const struct key_view *view, const struct key_settings *settings,
			   uint64_t now_ms)
{
	uint64_t joined_ms = settings->start_ms;

	if (joined_ms < view->complete_ms)
		joined_ms = view->complete_ms;
	for (uint32_t i = 0; i < view->count; i++) {
		const struct key_seat *seat = &view->seats[i];

		if (seat->state == KEY_MEMBER_DEAD &&
		    seat->alive_ms < joined_ms + settings->spread_ms &&
		    seat_given_up_ms(view, settings, seat) > now_ms)
			return true;
	}
	return false;
}

/* Tells whether this node may serve a key whose home it is by its own view: it is not cut off; if
 * it took the key over, the former home would be seen coming back; and no other can still take
 * itself for the home. */
bool key_view_may_serve(const struct key_view *view, const struct key_settings *settings,
			const struct key_hash *hash, uint64_t now_ms)
{
	if (is_cut_off(view, settings, now_ms))
		return false;
	if (view->no_majority_ms != 0 && is_taken_over(view, settings, hash, now_ms))
		return false;
	return !may_be_unknown(view, settings, now_ms);
}

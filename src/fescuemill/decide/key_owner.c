/*
 * Chooses the owner of each key by rendezvous hashing over the members of a service.
 *
 * A member that announced its departure releases its keys at once. A dead member may still run
 * calls behind a broken link, so it keeps its keys until a majority of the members has been alive
 * for the retention time; until then, calls with these keys are not run. A node that sees less than
 * half of the members alive, or that is paused, stops serving keys after half the retention time,
 * which is before others may take its keys over.
 */
#include "fescuemill/decide/key_owner.h"

#include "fescuemill/decide/slot_map.h"

#include <stdlib.h>
#include <string.h>

/* Initializes a view without members. Errors: ERROR_MEMORY. */
int key_view_init(struct key_view *view, uint32_t capacity, struct error *err)
{
	memset(view, 0, sizeof(*view));
	view->members = calloc(capacity + 1, sizeof(*view->members));
	if (!view->members)
		return error_set(err, ERROR_MEMORY, "cannot allocate a view of %u members",
				 capacity);
	view->capacity = capacity;
	return 0;
}

void key_view_release(struct key_view *view)
{
	free(view->members);
	view->members = NULL;
}

static struct key_view_member *view_member_find(const struct key_view *view, uint64_t node_id)
{
	for (uint32_t i = 0; i < view->count; i++) {
		if (view->members[i].node_id == node_id)
			return &view->members[i];
	}
	return NULL;
}

static bool is_listed(const struct key_member *members, uint32_t count, uint64_t node_id)
{
	for (uint32_t i = 0; i < count; i++) {
		if (members[i].node_id == node_id)
			return true;
	}
	return false;
}

/* Sets the state of a member, and the time of the change if the state is a new one. */
static void view_member_set_state(struct key_view_member *member, enum key_member_state state,
				  uint64_t now_ms)
{
	if (member->state == state)
		return;
	member->state = state;
	member->state_since_ms = now_ms;
}

/* Counts the members that have not left (all), and those of them that are alive. */
static void view_members_count(const struct key_view *view, uint32_t *alive, uint32_t *all)
{
	*alive = 0;
	*all = 0;
	for (uint32_t i = 0; i < view->count; i++) {
		*alive += view->members[i].state == KEY_MEMBER_ALIVE;
		*all += view->members[i].state != KEY_MEMBER_LEFT;
	}
}

/* Returns the time at which a member's keys pass to other members if its state stays as it is. The
 * time may be in the past. Returns UINT64_MAX if the member keeps its keys. */
static uint64_t view_member_release_ms(const struct key_view *view,
				       const struct key_settings *settings,
				       const struct key_view_member *member)
{
	uint64_t retention_end_ms = member->state_since_ms + settings->retention_ms;

	switch (member->state) {
	case KEY_MEMBER_LEFT:
		return member->state_since_ms;
	case KEY_MEMBER_DEAD:
		if (view->no_majority_since_ms != 0 &&
		    view->no_majority_since_ms < retention_end_ms)
			return UINT64_MAX;
		return retention_end_ms;
	default:
		return UINT64_MAX;
	}
}

/* Removes the members that released their keys more than the retention time and twice the spread
 * ago, since the calls that they ran no longer matter. */
static void view_members_prune(struct key_view *view, const struct key_settings *settings,
			       uint64_t now_ms)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		uint64_t released_at_ms = view_member_release_ms(view, settings, &view->members[i]);

		if (released_at_ms != UINT64_MAX &&
		    now_ms > released_at_ms + settings->retention_ms + 2 * settings->spread_ms)
			continue;
		view->members[kept++] = view->members[i];
	}
	view->count = kept;
}

/* Handles the return of a majority. Dead members that had not released their keys when the majority
 * was lost must from now on stay dead for the whole retention time before they release them. */
static void majority_regained(struct key_view *view, const struct key_settings *settings,
			      uint64_t now_ms)
{
	for (uint32_t i = 0; i < view->count; i++) {
		struct key_view_member *member = &view->members[i];

		if (member->state == KEY_MEMBER_DEAD &&
		    view_member_release_ms(view, settings, member) == UINT64_MAX)
			member->state_since_ms = now_ms;
	}
	view->no_majority_since_ms = 0;
}

/* Returns true if others may soon take over this node's keys, since for half the retention time it
 * has seen less than half of the members alive or has not updated its view at all. */
static bool is_cut_off(const struct key_view *view, const struct key_settings *settings,
		       uint64_t now_ms)
{
	return now_ms >= view->last_contact_ms + settings->retention_ms / 2;
}

/* Updates the majority and contact times from the number of members that are alive now. */
static void majority_update(struct key_view *view, const struct key_settings *settings,
			    uint64_t now_ms)
{
	uint32_t alive;
	uint32_t all;

	view_members_count(view, &alive, &all);
	if (2 * alive <= all && view->no_majority_since_ms == 0)
		view->no_majority_since_ms = now_ms;
	if (2 * alive > all && view->no_majority_since_ms != 0)
		majority_regained(view, settings, now_ms);
	if (2 * alive < all)
		return;
	if (is_cut_off(view, settings, now_ms))
		view->complete_since_ms = now_ms;
	view->last_contact_ms = now_ms;
}

/* Handles this node's own state in the list of members. If the node serves again after it had left,
 * others may have run calls with its keys in between. */
static void own_state_update(struct key_view *view, const struct key_settings *settings,
			     const struct key_member *member, uint64_t now_ms)
{
	const struct key_view_member *own = view_member_find(view, settings->own_id);

	if (member->node_id != settings->own_id || member->state != KEY_MEMBER_ALIVE)
		return;
	if (!own || own->state != KEY_MEMBER_ALIVE)
		view->complete_since_ms = now_ms;
}

/* Updates the members of the service. A member that was alive and is no longer listed becomes dead.
 * Errors: ERROR_LIMIT if there are too many members. The first ones in the list are then updated,
 * while the others and the majority stay as before. */
int key_view_set(struct key_view *view, const struct key_settings *settings,
		 const struct key_member *members, uint32_t count, uint64_t now_ms,
		 struct error *err)
{
	for (uint32_t i = 0; i < view->count; i++) {
		if (view->members[i].state == KEY_MEMBER_ALIVE &&
		    !is_listed(members, count, view->members[i].node_id))
			view_member_set_state(&view->members[i], KEY_MEMBER_DEAD, now_ms);
	}
	for (uint32_t i = 0; i < count; i++) {
		struct key_view_member *member = view_member_find(view, members[i].node_id);

		own_state_update(view, settings, &members[i], now_ms);
		if (!member && view->count == view->capacity)
			return error_set(err, ERROR_LIMIT, "the service has more than %u members",
					 view->capacity);
		if (!member) {
			member = &view->members[view->count++];
			*member = (struct key_view_member){members[i].node_id, now_ms, 0,
							   members[i].state};
		}
		view_member_set_state(member, members[i].state, now_ms);
		if (member->state == KEY_MEMBER_ALIVE)
			member->last_alive_ms = now_ms;
	}
	majority_update(view, settings, now_ms);
	view_members_prune(view, settings, now_ms);
	return 0;
}

/* Returns the rendezvous hash of a member for a key. The highest one determines the owner. */
static uint64_t view_member_score(const struct key_view_member *member, const struct key_hash *hash)
{
	return slot_hash(hash->high ^ member->node_id, hash->low);
}

/* Returns the owner of a key, which may be dead, or NULL if there is none. */
const struct key_view_member *key_view_owner(const struct key_view *view,
					     const struct key_settings *settings,
					     const struct key_hash *hash, uint64_t now_ms)
{
	const struct key_view_member *owner = NULL;

	for (uint32_t i = 0; i < view->count; i++) {
		const struct key_view_member *member = &view->members[i];

		if (view_member_release_ms(view, settings, member) <= now_ms)
			continue;
		if (!owner || view_member_score(member, hash) > view_member_score(owner, hash))
			owner = member;
	}
	return owner;
}

/* Returns the last time at which this node got a key because another member released it, or at
 * which this node began to serve again after it was cut off or had left. Returns 0 if neither is
 * known. */
uint64_t key_view_acquired_ms(const struct key_view *view, const struct key_settings *settings,
			      const struct key_hash *hash, uint64_t now_ms)
{
	const struct key_view_member *own = view_member_find(view, settings->own_id);
	uint64_t acquired_ms = view->complete_since_ms;

	for (uint32_t i = 0; own && i < view->count; i++) {
		const struct key_view_member *member = &view->members[i];
		uint64_t released_at_ms = view_member_release_ms(view, settings, member);

		if (released_at_ms <= now_ms && released_at_ms > acquired_ms &&
		    view_member_score(member, hash) > view_member_score(own, hash))
			acquired_ms = released_at_ms;
	}
	return acquired_ms;
}

/* Returns true if this node owns a key only because another member released it. */
static bool is_taken_over(const struct key_view *view, const struct key_settings *settings,
			  const struct key_hash *hash, uint64_t now_ms)
{
	const struct key_view_member *own = view_member_find(view, settings->own_id);

	for (uint32_t i = 0; own && i < view->count; i++) {
		const struct key_view_member *member = &view->members[i];

		if (view_member_release_ms(view, settings, member) <= now_ms &&
		    view_member_score(member, hash) > view_member_score(own, hash))
			return true;
	}
	return false;
}

/* Returns true if some dead member that still has its keys was not seen alive since this node
 * joined. It may not know of this node, and so may still serve keys that this node owns now. */
static bool has_unaware_member(const struct key_view *view, const struct key_settings *settings,
			       uint64_t now_ms)
{
	uint64_t joined_ms = settings->start_ms;

	if (joined_ms < view->complete_since_ms)
		joined_ms = view->complete_since_ms;
	for (uint32_t i = 0; i < view->count; i++) {
		const struct key_view_member *member = &view->members[i];

		if (member->state == KEY_MEMBER_DEAD &&
		    member->last_alive_ms < joined_ms + settings->spread_ms &&
		    view_member_release_ms(view, settings, member) > now_ms)
			return true;
	}
	return false;
}

/* Returns true if this node may serve a key that it owns by its own view. It must not be cut off.
 * If it took the key over, a majority must be alive, so that it would see the previous owner come
 * back. And there must be no other member that may still consider itself the owner. */
bool key_view_may_serve(const struct key_view *view, const struct key_settings *settings,
			const struct key_hash *hash, uint64_t now_ms)
{
	if (is_cut_off(view, settings, now_ms))
		return false;
	if (view->no_majority_since_ms != 0 && is_taken_over(view, settings, hash, now_ms))
		return false;
	return !has_unaware_member(view, settings, now_ms);
}

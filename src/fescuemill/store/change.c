/*
 * Change: a write whose answer was lost is resolved by reading the object and looking for the
 * change's own id in its history. Writing again is safe, since the base version is the same.
 */
#include "fescuemill/store/change.h"

#include <string.h>

/* Starts a change of the object `base` (NULL: there is none) at its version. */
void change_init(struct change *change, const struct service_object *base, uint64_t base_version,
		 bool deletes, const char *id)
{
	memset(change, 0, sizeof(*change));
	change->base_version = base_version;
	change->deletes = deletes;
	strncpy(change->id, id, sizeof(change->id) - 1);
	if (base && base->change_count)
		memcpy(change->base_last_id, base->changes[base->change_count - 1].id,
		       sizeof(change->base_last_id));
}

static enum change_step give_up(const struct change *change)
{
	if (change->doubtful)
		return CHANGE_UNKNOWN;
	return change->lost ? CHANGE_CONFLICT : CHANGE_FAILED;
}

static enum change_step try_again(struct change *change, enum change_step step)
{
	change->attempts++;
	return change->attempts < CHANGE_ATTEMPTS_MAX ? step : give_up(change);
}

/* Tells whether an error may pass, so that trying again makes sense. */
static bool may_pass(enum error_kind kind)
{
	return kind == ERROR_UNREACHABLE || kind == ERROR_TIMEOUT || kind == ERROR_LIMIT;
}

/* Takes the end of a write and gives the next step. */
enum change_step change_wrote(struct change *change, enum error_kind kind, bool effect_unknown,
			      uint64_t version)
{
	if (kind == ERROR_NONE) {
		change->version = version;
		change->exact = true;
		return CHANGE_ACCEPTED;
	}
	if (kind == ERROR_CONFLICT || kind == ERROR_NOT_FOUND) {
		change->lost = true;
		change->version = version;
		return try_again(change, CHANGE_READ);
	}
	if (effect_unknown) {
		change->doubtful = true;
		return try_again(change, CHANGE_READ);
	}
	if (may_pass(kind))
		return try_again(change, change->doubtful ? CHANGE_READ : CHANGE_WRITE);
	return give_up(change);
}

/* Tells whether an object's history reaches back to the base, so that a change that is not in it
 * did not take effect. */
static bool history_reaches_base(const struct change *change, const struct service_object *object)
{
	if (change->base_last_id[0])
		return service_has_change(object, change->base_last_id);
	return object->change_count < SERVICE_CHANGES_MAX;
}

static enum change_step judge_absent(struct change *change)
{
	change->version = 0;
	if (change->deletes && change->doubtful)
		return CHANGE_ACCEPTED; /* gone, as was wanted */
	if (change->base_version == 0 && !change->lost)
		return try_again(change, CHANGE_WRITE);
	return change->doubtful ? CHANGE_UNKNOWN : CHANGE_CONFLICT;
}

static enum change_step judge_other(struct change *change, const struct service_object *object)
{
	if (object->change_count)
		change->other = object->changes[object->change_count - 1];
	if (change->doubtful && !history_reaches_base(change, object))
		return CHANGE_UNKNOWN;
	return CHANGE_CONFLICT;
}

/* Takes the end of a read and gives the next step. */
enum change_step change_read(struct change *change, enum error_kind kind, uint64_t version,
			     const struct service_object *object)
{
	if (kind == ERROR_NOT_FOUND)
		return judge_absent(change);
	if (kind != ERROR_NONE)
		return may_pass(kind) ? try_again(change, CHANGE_READ) : give_up(change);
	change->version = version;
	if (version == change->base_version)
		return try_again(change, CHANGE_WRITE);
	if (!object)
		return change->doubtful ? CHANGE_UNKNOWN : CHANGE_CONFLICT;
	if (service_has_change(object, change->id)) {
		change->exact =
			strcmp(object->changes[object->change_count - 1].id, change->id) == 0;
		return CHANGE_ACCEPTED;
	}
	return judge_other(change, object);
}

/*
 * Change: conditional writes of a service object. If the answer to a write is lost, the object is
 * read, and its history is searched for the id of the change. Repeating the write is safe, since it
 * is conditional on the same base version.
 */
#include "fescuemill/store/change.h"

#include <string.h>

/* Initializes a change of the object base (NULL: no object yet) at base_version. */
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

/* Returns the final step of a change that is not tried again. */
static enum change_step give_up(const struct change *change)
{
	if (change->may_have_applied)
		return CHANGE_UNKNOWN;
	return change->base_outdated ? CHANGE_CONFLICT : CHANGE_FAILED;
}

/* Returns the step to take next, or a final one if all attempts are used up. */
static enum change_step retry(struct change *change, enum change_step step)
{
	change->attempts++;
	return change->attempts < CHANGE_ATTEMPTS_MAX ? step : give_up(change);
}

/* Returns true if a retry may succeed after an error of this kind. */
static bool is_transient(enum error_kind kind)
{
	return kind == ERROR_UNREACHABLE || kind == ERROR_TIMEOUT || kind == ERROR_LIMIT;
}

/* Records the result of a write and returns the next step. */
enum change_step change_write_done(struct change *change, enum error_kind kind, bool effect_unknown,
				   uint64_t version)
{
	if (kind == ERROR_NONE) {
		change->version = version;
		change->exact = true;
		return CHANGE_ACCEPTED;
	}
	if (kind == ERROR_CONFLICT || kind == ERROR_NOT_FOUND) {
		change->base_outdated = true;
		change->version = version;
		return retry(change, CHANGE_READ);
	}
	if (effect_unknown) {
		change->may_have_applied = true;
		return retry(change, CHANGE_READ);
	}
	if (is_transient(kind))
		return retry(change, change->may_have_applied ? CHANGE_READ : CHANGE_WRITE);
	return give_up(change);
}

/* Returns true if the object's history reaches back to the base. Then a change that is not in the
 * history did not take effect. */
static bool history_reaches_base(const struct change *change, const struct service_object *object)
{
	if (change->base_last_id[0])
		return service_has_change(object, change->base_last_id);
	return object->change_count < SERVICE_CHANGES_MAX;
}

/* Returns the next step after a read found no object. */
static enum change_step step_after_missing_object(struct change *change)
{
	change->version = 0;
	if (change->deletes && change->may_have_applied)
		return CHANGE_ACCEPTED; /* the object is deleted, as intended */
	if (change->base_version == 0 && !change->base_outdated)
		return retry(change, CHANGE_WRITE);
	return change->may_have_applied ? CHANGE_UNKNOWN : CHANGE_CONFLICT;
}

/* Returns the final step after a read found a newer object without this change. */
static enum change_step step_after_other_change(struct change *change,
						const struct service_object *object)
{
	if (object->change_count)
		change->other = object->changes[object->change_count - 1];
	if (change->may_have_applied && !history_reaches_base(change, object))
		return CHANGE_UNKNOWN;
	return CHANGE_CONFLICT;
}

/* Records the result of a read and returns the next step. */
enum change_step change_read_done(struct change *change, enum error_kind kind, uint64_t version,
				  const struct service_object *object)
{
	if (kind == ERROR_NOT_FOUND)
		return step_after_missing_object(change);
	if (kind != ERROR_NONE)
		return is_transient(kind) ? retry(change, CHANGE_READ) : give_up(change);
	change->version = version;
	if (version == change->base_version)
		return retry(change, CHANGE_WRITE);
	if (!object)
		return change->may_have_applied ? CHANGE_UNKNOWN : CHANGE_CONFLICT;
	if (service_has_change(object, change->id)) {
		change->exact =
			strcmp(object->changes[object->change_count - 1].id, change->id) == 0;
		return CHANGE_ACCEPTED;
	}
	return step_after_other_change(change, object);
}

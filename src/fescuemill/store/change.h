/*
 * Change: the decisions of one conditional change of a service object, up to the truth about it:
 * accepted, lost to another writer, not done, or not knowable. Pure.
 */
#ifndef FESCUEMILL_STORE_CHANGE_H
#define FESCUEMILL_STORE_CHANGE_H

#include "fescuemill/fleet/service_json.h"

#define CHANGE_ATTEMPTS_MAX 8

enum change_step {
	CHANGE_WRITE,	 /* write (again) on the same base version */
	CHANGE_READ,	 /* read the object to learn what became of the write */
	CHANGE_ACCEPTED, /* the change took effect */
	CHANGE_CONFLICT, /* it did not and never will: another writer was first */
	CHANGE_FAILED,	 /* it did not and never will: see the last error */
	CHANGE_UNKNOWN,	 /* it may have taken or take effect */
};

struct change {
	uint64_t base_version; /* 0: the object must not exist */
	bool deletes;
	char id[CHANGE_ID_BYTES];
	char base_last_id[CHANGE_ID_BYTES]; /* newest change of the base; empty when there is none
					     */
	bool doubtful;			    /* an earlier write may have taken effect */
	bool lost;			    /* the platform refused the base version */
	uint32_t attempts;
	bool exact;	  /* accepted: the version is that of this change */
	uint64_t version; /* accepted: a version with the change; conflict: the current one */
	struct service_change other; /* conflict: the newest change of the other writer, if known */
};

void change_init(struct change *change, const struct service_object *base, uint64_t base_version,
		 bool deletes, const char *id);
/* Takes the end of a write: ERROR_NONE with the new version, or why it failed. */
enum change_step change_wrote(struct change *change, enum error_kind kind, bool effect_unknown,
			      uint64_t version);
/* Takes the end of a read: ERROR_NONE with the object, ERROR_NOT_FOUND, or why it failed. The
 * object is NULL when it was not understood. */
enum change_step change_read(struct change *change, enum error_kind kind, uint64_t version,
			     const struct service_object *object);

#endif

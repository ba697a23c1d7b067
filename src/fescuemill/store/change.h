/*
 * Change: decides the steps of one conditional change of a service object until its outcome is
 * known: accepted, rejected because another writer was first, failed, or unknown. No I/O.
 */
#ifndef FESCUEMILL_STORE_CHANGE_H
#define FESCUEMILL_STORE_CHANGE_H

#include "fescuemill/fleet/service_json.h"

#define CHANGE_ATTEMPTS_MAX 8

enum change_step {
	CHANGE_WRITE,	 /* write the object, on condition of the base version */
	CHANGE_READ,	 /* read the object to find out whether a write took effect */
	CHANGE_ACCEPTED, /* the change took effect */
	CHANGE_CONFLICT, /* no effect, now or later: another writer was first */
	CHANGE_FAILED,	 /* no effect, now or later: see the last error */
	CHANGE_UNKNOWN,	 /* it may have taken effect or may still do so */
};

struct change {
	uint64_t base_version; /* version that the change is based on; 0: no object */
	bool deletes;	       /* the change deletes the object */
	char id[CHANGE_ID_BYTES];
	char base_last_id[CHANGE_ID_BYTES]; /* id of the base's newest change; empty: none */
	bool may_have_applied;		    /* an earlier write may have taken effect */
	bool base_outdated;		    /* the platform refused a write for its base version */
	uint32_t attempts;		    /* writes and reads that left the outcome open */
	bool exact; /* if accepted: version is the one that this change made, not a later one */
	uint64_t version; /* if accepted: a version with the change; on conflict: the current one */
	struct service_change other; /* on conflict: newest change of the object; empty: unknown */
};

void change_init(struct change *change, const struct service_object *base, uint64_t base_version,
		 bool deletes, const char *id);
/* Records the result of a write: ERROR_NONE with the new version, or the error. */
enum change_step change_write_done(struct change *change, enum error_kind kind, bool effect_unknown,
				   uint64_t version);
/* Records the result of a read: ERROR_NONE with the object, ERROR_NOT_FOUND, or another error. The
 * object is NULL if it could not be parsed. */
enum change_step change_read_done(struct change *change, enum error_kind kind, uint64_t version,
				  const struct service_object *object);

#endif

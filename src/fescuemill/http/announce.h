/*
 * Announce: HTTP listener on which the local backend server announces its state. Each accepted
 * announcement renews a lease; when the lease expires, the backend server counts as absent.
 */
#ifndef FESCUEMILL_HTTP_ANNOUNCE_H
#define FESCUEMILL_HTTP_ANNOUNCE_H

#include "fescuemill/base/error.h"
#include "fescuemill/http/dialect.h"

#include <stddef.h>
#include <uv.h>

#define ANNOUNCE_LEASE_MS  3000 /* lease that the native dialect states in its replies */
#define ANNOUNCE_SLOTS_MAX 4096

struct announce;

struct announce_options {
	uint32_t ip;	   /* host byte order */
	uint16_t port;	   /* 0: any free port */
	uint32_t lease_ms; /* how long an announcement stays valid without renewal */
	const struct http_dialect *dialect;
	/* Called when an announcement differs from the one before, and when the lease expires. */
	void (*on_change)(void *user, const struct announcement *now);
	/* Called with each announcement that is not stale, before on_change. May be NULL. */
	void (*on_heartbeat)(void *user, const struct announcement *heard);
	/* Returns the number of attempts that the backend server is running. */
	uint32_t (*in_use)(void *user);
	void *user;
};

int announce_open(struct announce **out, uv_loop_t *loop, const struct announce_options *opt,
		  struct error *err);
uint16_t announce_port(const struct announce *ann);
/* Expires the lease at once, for a backend server that no longer listens. */
void announce_expire_lease(struct announce *ann);
/* Applies the state that a health check found, if no announcement is valid. Ignores an instance of
 * the backend server that announced that it is draining or leaving: it may still answer checks. */
void announce_backend_found(struct announce *ann, const struct announcement *found);
/* Records that a health check found the backend server not ready. If no announcement has arrived
 * since this process started, the first that says ready is then taken only once another one does:
 * it may be a late one from before the backend server announced that it is leaving, to an earlier
 * process. */
void announce_backend_refused(struct announce *ann);
/* Drains the backend server, which, in its start at started_ms (0: not known), has stated in an
 * answer that it is leaving. Later announcements of the same start do not undo it. */
void announce_backend_leaving(struct announce *ann, uint64_t started_ms);
void announce_close(struct announce *ann);
void announce_free(struct announce *ann);

int announcement_parse(const char *json, size_t size, struct announcement *out, struct error *err);

#endif

/*
 * Announce: the listener on which the backend server beside this node announces itself, with a
 * lease that ends when it is not renewed.
 */
#ifndef FESCUEMILL_HTTP_ANNOUNCE_H
#define FESCUEMILL_HTTP_ANNOUNCE_H

#include "fescuemill/base/error.h"
#include "fescuemill/http/dialect.h"

#include <stddef.h>
#include <uv.h>

#define ANNOUNCE_LEASE_MS  3000 /* of the product's own dialect */
#define ANNOUNCE_SLOTS_MAX 4096

struct announce;

struct announce_options {
	uint32_t ip; /* host byte order */
	uint16_t port;
	uint32_t lease_ms; /* how long an announcement holds */
	const struct http_dialect *dialect;
	/* Called when an announcement differs from the one before, and when the lease ends. */
	void (*on_change)(void *user, const struct announcement *now);
	/* Gives the attempts that the backend server runs. */
	uint32_t (*in_use)(void *user);
	void *user;
};

int announce_open(struct announce **out, uv_loop_t *loop, const struct announce_options *opt,
		  struct error *err);
uint16_t announce_port(const struct announce *ann);
/* Ends the lease before its time: the backend server does not listen any more. */
void announce_end_lease(struct announce *ann);
/* Takes what a health check found, while no announcement holds. A start that said that it leaves is
 * not taken back for answering on. */
void announce_found(struct announce *ann, const struct announcement *found);
void announce_close(struct announce *ann);
void announce_free(struct announce *ann);

int announcement_parse(const char *json, size_t size, struct announcement *out, struct error *err);

#endif

/*
 * Submit: makes the platform calls and pauses that the steps of a change require.
 */
#include "fescuemill/store/submit.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/store/session.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE_KIND	   "service"
#define BACKOFF_MAX_US	   (1 * USEC_PER_SEC)
#define BACKOFF_INITIAL_US (50 * USEC_PER_MSEC)

struct submit {
	struct platform *platform;
	struct change change;
	enum change_step next_step;
	char service[SERVICE_NAME_BYTES];
	struct service_object object;
	char *json; /* NULL for a deletion */
	size_t json_size;
	struct error err; /* of the last call that failed */
	uv_timer_t timer;
	struct random rng;
	submit_done_fn done;
	void *user;
};

static void on_timer_closed(uv_handle_t *handle)
{
	struct submit *submit = handle->data;

	free(submit->json);
	free(submit);
}

/* Describes a conflict: who changed the object and when, as far as known, and both versions. */
static void describe_conflict(const struct change *change, struct error *err)
{
	if (change->other.id[0])
		error_set(err, ERROR_CONFLICT,
			  "changed by %s at %" PRIu64 " ms, now version %" PRIu64 ", not %" PRIu64,
			  change->other.by, change->other.at_ms, change->version,
			  change->base_version);
	else if (change->version)
		error_set(err, ERROR_CONFLICT, "now version %" PRIu64 ", not %" PRIu64,
			  change->version, change->base_version);
	else
		error_set(err, ERROR_CONFLICT, "deleted since version %" PRIu64,
			  change->base_version);
}

/* Reports the outcome of a change. The memory is freed once the timer is closed. */
static void finish(struct submit *submit, enum change_step step)
{
	struct submit_result result = {.step = step,
				       .version = submit->change.version,
				       .exact = submit->change.exact,
				       .object = submit->json ? &submit->object : NULL};

	if (step == CHANGE_CONFLICT)
		describe_conflict(&submit->change, &result.err);
	else if (step == CHANGE_UNKNOWN)
		error_set(&result.err, ERROR_TIMEOUT,
			  "the change %s may have taken effect: read it again; %.100s",
			  submit->change.id, submit->err.detail);
	else if (step == CHANGE_FAILED)
		result.err = submit->err;
	uv_close((uv_handle_t *)&submit->timer, on_timer_closed);
	submit->done(submit->user, &result);
}

static void on_timer(uv_timer_t *timer);

/* Finishes after a final step; else schedules the step after a pause that grows with the attempts.
 */
static void schedule_step(struct submit *submit, enum change_step step)
{
	static const struct session_limits backoff = {.backoff_initial_us = BACKOFF_INITIAL_US,
						      .backoff_max_us = BACKOFF_MAX_US};
	uint64_t wait_us = 0;

	if (step != CHANGE_WRITE && step != CHANGE_READ) {
		finish(submit, step);
		return;
	}
	/* A conflict is resolved without delay; only a failing platform needs a pause. */
	if (!submit->change.base_outdated)
		wait_us = session_backoff_us(&backoff, submit->change.attempts, &submit->rng);
	submit->next_step = step;
	uv_timer_start(&submit->timer, on_timer, wait_us / USEC_PER_MSEC, 0);
}

static void on_written(void *user, const struct platform_result *result)
{
	struct submit *submit = user;

	submit->err = result->err;
	schedule_step(submit, change_write_done(&submit->change, result->err.kind,
						result->effect_unknown, result->version));
}

static void on_read(void *user, const struct platform_result *result)
{
	struct submit *submit = user;
	struct service_object object;
	bool parsed;

	if (result->err.kind)
		submit->err = result->err;
	parsed = !result->err.kind &&
		 service_parse(result->body, result->body_size, &object, NULL) == 0;
	schedule_step(submit, change_read_done(&submit->change, result->err.kind, result->version,
					       parsed ? &object : NULL));
}

static void write_object(struct submit *submit)
{
	struct platform_request request = {
		.type = PLATFORM_UPDATE,
		.kind = SERVICE_KIND,
		.name = submit->service,
		.version = submit->change.base_version,
		.value = submit->json,
		.value_size = submit->json_size,
	};

	if (submit->change.deletes)
		request.type = PLATFORM_DELETE;
	else if (!submit->change.base_version)
		request.type = PLATFORM_CREATE;
	platform_start(submit->platform, &request, on_written, submit);
}

static void read_object(struct submit *submit)
{
	struct platform_request request = {
		.type = PLATFORM_GET, .kind = SERVICE_KIND, .name = submit->service};

	platform_start(submit->platform, &request, on_read, submit);
}

static void on_timer(uv_timer_t *timer)
{
	struct submit *submit = timer->data;

	if (submit->next_step == CHANGE_WRITE)
		write_object(submit);
	else
		read_object(submit);
}

/* Starts a change; see submit.h. Errors: ERROR_MEMORY. */
int submit_start(uv_loop_t *loop, struct platform *platform, const struct service_object *base,
		 uint64_t base_version, const struct service_object *next, const char *id,
		 submit_done_fn done, void *user, struct error *err)
{
	struct submit *submit = calloc(1, sizeof(*submit));
	const struct service_object *named = next ? next : base;

	if (!submit)
		return error_set(err, ERROR_MEMORY, "no memory for a change");
	if (next) {
		submit->object = *next;
		if (service_write(next, &submit->json, &submit->json_size, err)) {
			free(submit);
			return -1;
		}
	}
	memcpy(submit->service, named->config.service, sizeof(submit->service));
	change_init(&submit->change, base, base_version, !next, id);
	submit->platform = platform;
	submit->done = done;
	submit->user = user;
	random_seed(&submit->rng, clock_monotonic_us());
	uv_timer_init(loop, &submit->timer);
	submit->timer.data = submit;
	write_object(submit);
	return 0;
}

/*
 * Deferred: frees memory that holds libuv handles which a library is still closing.
 */
#include "fescuemill/http/deferred.h"

#include <stdlib.h>

struct deferred {
	uv_timer_t handle;
	void *memory;
};

/* Frees the memory in the second pass. */
static void on_second_pass(uv_handle_t *handle)
{
	struct deferred *job = (struct deferred *)handle;

	free(job->memory);
	free(job);
}

/* Waits for one more pass of libuv over closing handles: within one pass their order is not
 * stated. */
static void on_first_pass(uv_handle_t *handle)
{
	uv_timer_init(handle->loop, (uv_timer_t *)handle);
	uv_close(handle, on_second_pass);
}

/* Frees memory once every handle closed up to now is really closed. Without memory for that, it
 * is kept for good. */
void deferred_free(uv_loop_t *loop, void *memory)
{
	struct deferred *job = malloc(sizeof(*job));

	if (!job)
		return;
	job->memory = memory;
	uv_timer_init(loop, &job->handle);
	uv_close((uv_handle_t *)&job->handle, on_first_pass);
}

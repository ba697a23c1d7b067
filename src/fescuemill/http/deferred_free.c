/*
 * Frees memory that contains libuv handles after libuv has finished closing them.
 */
#include "fescuemill/http/deferred_free.h"

#include <stdlib.h>

struct deferred {
	uv_timer_t handle;
	void *memory;
};

static void on_second_pass(uv_handle_t *handle)
{
	struct deferred *job = (struct deferred *)handle;

	free(job->memory);
	free(job);
}

/* Closes the handle a second time, which waits for another pass of libuv over its closing handles:
 * libuv does not specify the order of the close callbacks within one pass. */
static void on_first_pass(uv_handle_t *handle)
{
	uv_timer_init(handle->loop, (uv_timer_t *)handle);
	uv_close(handle, on_second_pass);
}

/* Frees memory after libuv has closed all handles for which uv_close() was called before. Used for
 * handles that a library closes by itself. Leaks the memory if malloc() fails. */
void deferred_free(uv_loop_t *loop, void *memory)
{
	struct deferred *job = malloc(sizeof(*job));

	if (!job)
		return;
	job->memory = memory;
	uv_timer_init(loop, &job->handle);
	uv_close((uv_handle_t *)&job->handle, on_first_pass);
}

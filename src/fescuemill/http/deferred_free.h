/*
 * Frees memory that contains libuv handles after libuv has finished closing them.
 */
#ifndef FESCUEMILL_HTTP_DEFERRED_FREE_H
#define FESCUEMILL_HTTP_DEFERRED_FREE_H

#include <uv.h>

void deferred_free(uv_loop_t *loop, void *memory);

#endif

/*
 * Deferred: frees memory that holds libuv handles which a library is still closing.
 */
#ifndef FESCUEMILL_HTTP_DEFERRED_H
#define FESCUEMILL_HTTP_DEFERRED_H

#include <uv.h>

void deferred_free(uv_loop_t *loop, void *memory);

#endif

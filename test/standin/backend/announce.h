/*
 * Announce: sends the service, port, slots and state of this backend server to its node.
 */
#ifndef STANDIN_BACKEND_ANNOUNCE_H
#define STANDIN_BACKEND_ANNOUNCE_H

#include <stdint.h>
#include <uv.h>

/* Writes the JSON body of an announcement. */
typedef void (*announce_body)(char *text, size_t bytes);

int announce_start(uv_loop_t *loop, const char *node, announce_body write_body);
void announce_now(void);
int64_t announce_in_use(void);

#endif

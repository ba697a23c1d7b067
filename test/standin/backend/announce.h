/*
 * Announce: tells the node beside this backend server once a second what it is and how it does.
 */
#ifndef STANDIN_BACKEND_ANNOUNCE_H
#define STANDIN_BACKEND_ANNOUNCE_H

#include <stdint.h>
#include <uv.h>

/* Writes the announcement's JSON body into text. */
typedef void (*announce_body)(char *text, size_t bytes);

int announce_start(uv_loop_t *loop, const char *node, announce_body write_body);
void announce_now(void);
int64_t announce_in_use(void);

#endif

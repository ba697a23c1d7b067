/*
 * Stream: TCP connections that pass through the link.
 */
#ifndef STANDIN_LINK_STREAM_H
#define STANDIN_LINK_STREAM_H

#include <stdint.h>
#include <uv.h>

void stream_accept(uv_stream_t *listener, uint16_t target_port, int direction);
void stream_silence_all(void);
void stream_update_reading(void);
unsigned int stream_count(void);

#endif

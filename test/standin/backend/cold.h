/*
 * Cold: a backend server that bears only a part of its calls for a while, says so, and may crash
 * under more.
 */
#ifndef STANDIN_BACKEND_COLD_H
#define STANDIN_BACKEND_COLD_H

#include <jansson.h>
#include <stdint.h>

/* Makes the server cold for a time; from now on it states how long it remains so. */
void cold_begin(uint64_t ms);
/* Applies "states_cold_ms" and "crash_per_s" of a control message. */
void cold_control(const json_t *body);
/* Counts a call that arrives. Ends the process with code 70 if more calls arrived within a second
 * while the server is cold than it is set to bear. */
void cold_count_call(void);
/* Returns how long the server remains cold, in milliseconds; -1 if it does not state it. */
int64_t cold_left_stated_ms(void);
/* Returns the most calls that arrived within a second while the server was cold. */
uint32_t cold_worst_second(void);

#endif

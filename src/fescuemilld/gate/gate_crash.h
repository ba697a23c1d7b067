/*
 * Gate crash: finds out whether the backend server ended while it ran calls. Connections of several
 * calls that are lost may mean a failed call each, or the end of the process: only then no new
 * connection is accepted. A check opens one and sends nothing. Nothing is checked as long as no
 * connection of a running call is lost.
 */
#ifndef FESCUEMILLD_GATE_GATE_CRASH_H
#define FESCUEMILLD_GATE_GATE_CRASH_H

#include "fescuemill/base/error.h"
#include "fescuemill/settings/settings_defs.h"

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#define CRASH_RUNS_MAX 64 /* calls that one end of the backend server is counted for */

struct gate_crash;

/* Called with the digests of the requests that ran when the backend server ended. */
typedef void (*gate_crash_fn)(void *user, const uint64_t *digests, uint32_t count);

int gate_crash_open(struct gate_crash **out, uv_loop_t *loop, gate_crash_fn on_end, void *user,
		    struct error *err);
void gate_crash_close(struct gate_crash *crash);
/* Records that the connection of a running call was lost, and starts to check the server at `to`.
 */
void gate_crash_run_lost(struct gate_crash *crash, uint64_t digest, const struct endpoint *to);
/* Records that the server refused a connection: it has ended. */
void gate_crash_refused(struct gate_crash *crash);
/* Records a complete answer to a call that started at started_us: the server has not ended before.
 */
void gate_crash_answered(struct gate_crash *crash, uint64_t started_us);

#endif

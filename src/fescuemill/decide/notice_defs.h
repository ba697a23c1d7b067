/*
 * What a backend server says of itself in its answers: a limit on the rate of its calls, which
 * holds as long as it says so, and that it is leaving, which holds until its next start.
 */
#ifndef FESCUEMILL_DECIDE_NOTICE_DEFS_H
#define FESCUEMILL_DECIDE_NOTICE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/* The latest word of a backend server, with the start that it is from. Entries keep it for a gate
 * that restarts. */
struct server_notice {
	uint64_t instance;   /* hash of the name of the instance; 0: not known */
	uint64_t started_ms; /* when the instance started, by its clock; 0: not known */
	bool has_rate_limit;
	bool is_leaving;
	uint32_t rate_limit_milli; /* calls per 1000 s that it takes from all nodes together */
};

#endif

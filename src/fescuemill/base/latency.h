/*
 * Latencies: one histogram a process for each thing that is timed, exposed with the counters.
 */
#ifndef FESCUEMILL_BASE_LATENCY_H
#define FESCUEMILL_BASE_LATENCY_H

#include <stddef.h>
#include <stdint.h>

enum latency {
	LATENCY_CALL,	    /* at the entry, from the whole request to its answer */
	LATENCY_ATTEMPT,    /* at the entry, from sending an attempt to its end */
	LATENCY_GATE_QUEUE, /* at the gate, from the offer to the start */
	LATENCY_RUN,	    /* at the backend server, from the first byte to the whole answer */
	LATENCY_STORE_CALL, /* of the store, watches left out */
	LATENCY_COUNT,
};

void latency_record(enum latency id, uint64_t elapsed_us);
uint64_t latency_count(enum latency id);
/* Writes all histograms in the usual exposition text format; returns the bytes that the whole text
 * needs, which may be more than size. */
size_t latency_write_text(char *text, size_t size);

#endif

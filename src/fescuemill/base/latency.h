/*
 * Latencies: one histogram per process for each kind of latency, exposed with the counters.
 */
#ifndef FESCUEMILL_BASE_LATENCY_H
#define FESCUEMILL_BASE_LATENCY_H

#include <stddef.h>
#include <stdint.h>

enum latency {
	LATENCY_CALL,	    /* at the entry, from the complete request to its answer */
	LATENCY_ATTEMPT,    /* at the entry, from sending an attempt until it ends */
	LATENCY_GATE_QUEUE, /* at the gate, from the offer of an attempt to its start */
	LATENCY_RUN,	    /* at the backend server, from the first byte to the complete answer */
	LATENCY_STORE_CALL, /* calls of the platform's store, without watches */
	LATENCY_COUNT,
};

void latency_record(enum latency id, uint64_t elapsed_us);
uint64_t latency_count(enum latency id);
/*
 * Writes all histograms in the Prometheus text format. Returns the length of the whole text in
 * bytes; if that is size or more, the text was truncated.
 */
size_t latency_write_text(char *text, size_t size);

#endif

/*
 * The platform's limit on the memory of a process: one that exceeds it is ended, and started again
 * after a short delay.
 */
#ifndef REVIEW_STANDIN_MEMORY_H
#define REVIEW_STANDIN_MEMORY_H

#include "fleet.h"

#define MEMORY_BYTES_MAX 260000000ULL /* memory_mb of a machine of the small sites */

/* Watches the nodes of a fleet from now on. */
void memory_watch(struct fleet *fleet);
/* Waits until all nodes are ready again, and know each other. */
void memory_wait_ready(struct fleet *fleet);
/* Returns true if the rule is broken: on a tenth of the machines, two at least, processes have
 * ended three times. */
bool memory_rule_is_broken(const struct fleet *fleet);
/* Stops watching, and records how often each process was ended. Returns the number of ends. */
uint32_t memory_watch_end(const struct fleet *fleet);

#endif

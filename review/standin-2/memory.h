/*
 * The platform's limit on the memory of a process: one that exceeds it is ended.
 */
#ifndef REVIEW_STANDIN_MEMORY_H
#define REVIEW_STANDIN_MEMORY_H

#include "fleet.h"

#define MEMORY_BYTES_MAX 260000000ULL /* memory_mb of a machine of the small sites */

/* Watches the nodes of a fleet from now on. */
void memory_watch(struct fleet *fleet);
/* Stops watching, records the most memory that each node has used, and returns how many processes
 * were ended. */
uint32_t memory_watch_end(const struct fleet *fleet);

#endif

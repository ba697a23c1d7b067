/*
 * Stand-in for the platform's store: objects by kind and name, one revision counter, watches.
 */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

/* Starts the store on "ip:port" in a thread. Returns -1 if it cannot listen. */
int store_start(const char *address);
/* Writes an object as the operator does; `spec` is JSON. */
void store_put(const char *kind, const char *name, const char *spec);

#endif

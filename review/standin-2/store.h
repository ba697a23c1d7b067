/*
 * The platform's store: objects by kind and name, conditional writes, lists and watches. It answers
 * each call at once and loses nothing.
 */
#ifndef REVIEW_STANDIN_STORE_H
#define REVIEW_STANDIN_STORE_H

#include <stdint.h>

/* Starts the store. Returns -1 if the address is in use. */
int store_start(const char *ip, uint16_t port);
/* Writes an object as the operator does: the JSON text of a file. Returns -1 if it is not JSON. */
int store_put_file(const char *kind, const char *name, const char *path);

#endif

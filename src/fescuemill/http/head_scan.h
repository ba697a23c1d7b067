/*
 * Head scan: counts the headers of a raw request head that say where its body ends and whom it is
 * for. Pure.
 */
#ifndef FESCUEMILL_HTTP_HEAD_SCAN_H
#define FESCUEMILL_HTTP_HEAD_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct head_scan {
	uint32_t hosts;
	uint32_t lengths;
	uint32_t codings;
	bool has_unknown_coding; /* a transfer coding other than "chunked" alone */
};

/* Reads from the request line to the empty line; returns -1 when a line is no header. */
int head_scan_read(struct head_scan *scan, const char *bytes, size_t size);

#endif

/*
 * Head scan: counts the headers of a raw request head that frame its body (content-length,
 * transfer-encoding) or name its host, so that ambiguous requests can be rejected. Pure.
 */
#ifndef FESCUEMILL_HTTP_HEAD_SCAN_H
#define FESCUEMILL_HTTP_HEAD_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct head_scan {
	uint32_t hosts;		 /* number of host headers */
	uint32_t lengths;	 /* number of content-length headers */
	uint32_t codings;	 /* number of transfer-encoding headers */
	bool has_unknown_coding; /* a transfer-encoding is other than "chunked" alone */
	bool is_http_1_0;
};

/* Scans from the request line to the empty line, and adds to the counts. Returns -1 if the version
 * is other than HTTP/1.0 and HTTP/1.1, a line is not a valid header or the empty line is missing.
 */
int head_scan_read(struct head_scan *scan, const char *bytes, size_t size);

#endif

/*
 * Head scan: counts the headers of a raw request head that frame its body or name its host, line by
 * line.
 */
#include "fescuemill/http/head_scan.h"

#include "fescuemill/http/call_request.h"

#include <string.h>

/* Counts one header line; returns -1 if it is invalid. A line that begins with a blank is invalid:
 * it is obsolete line folding, which HTTP implementations interpret differently. So is a blank
 * between name and colon. */
static int scan_line(struct head_scan *scan, const char *line, size_t size)
{
	const char *colon = memchr(line, ':', size);
	struct wire_bytes name;
	struct wire_bytes value;

	if (!colon || colon == line || line[0] == ' ' || line[0] == '\t')
		return -1;
	name = (struct wire_bytes){(const uint8_t *)line, (uint32_t)(colon - line)};
	if (name.data[name.size - 1] == ' ' || name.data[name.size - 1] == '\t')
		return -1;
	for (colon++; colon < line + size && (*colon == ' ' || *colon == '\t'); colon++)
		;
	value = (struct wire_bytes){(const uint8_t *)colon, (uint32_t)(line + size - colon)};
	while (value.size > 0 &&
	       (value.data[value.size - 1] == ' ' || value.data[value.size - 1] == '\t'))
		value.size--;
	scan->hosts += wire_bytes_equal_nocase(name, "host");
	scan->lengths += wire_bytes_equal_nocase(name, "content-length");
	if (wire_bytes_equal_nocase(name, "transfer-encoding")) {
		scan->codings++;
		scan->has_unknown_coding |= !wire_bytes_equal_nocase(value, "chunked");
	}
	return 0;
}

/* Reads the version at the end of the request line; returns -1 for any other than HTTP/1.0 and
 * HTTP/1.1. */
static int scan_version(struct head_scan *scan, const char *line, size_t size)
{
	static const char prefix[] = " HTTP/1.";
	const size_t prefix_size = sizeof(prefix) - 1;
	const char *version;

	if (size > 0 && line[size - 1] == '\r')
		size--;
	if (size < prefix_size + 1)
		return -1;
	version = line + size - prefix_size - 1;
	if (memcmp(version, prefix, prefix_size) != 0 || line[size - 1] < '0' ||
	    line[size - 1] > '1')
		return -1;
	scan->is_http_1_0 = line[size - 1] == '0';
	return 0;
}

/* Scans a request head. Returns -1 if a line is invalid or the empty line is missing. */
int head_scan_read(struct head_scan *scan, const char *bytes, size_t size)
{
	const char *at = memchr(bytes, '\n', size);
	const char *end = bytes + size;

	if (!at || scan_version(scan, bytes, (size_t)(at - bytes)) != 0)
		return -1;
	while (at) {
		const char *line = at + 1;
		size_t line_size;

		at = memchr(line, '\n', (size_t)(end - line));
		if (!at)
			return -1;
		line_size = (size_t)(at - line);
		if (line_size > 0 && line[line_size - 1] == '\r')
			line_size--;
		if (line_size == 0)
			return 0;
		if (scan_line(scan, line, line_size) != 0)
			return -1;
	}
	return -1;
}

#include "caller.h"

#include "fleet.h"
#include "names.h"
#include "net.h"
#include "record.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define HOST	    "h.example" /* of the configurations of the cases */
#define CHUNK_BYTES 65536
#define READ_BYTES  16384

static int send_request(int fd, const struct caller_request *request)
{
	static const char chunk[CHUNK_BYTES];
	uint64_t left = request->body_bytes;

	if (net_printf(fd,
		       "%s %s HTTP/1.1\r\nhost: " HOST "\r\n" HEADER_REQUEST_ID
		       ": %s\r\n" HEADER_TIME_LEFT_MS ": %" PRIu64 "\r\ncontent-length: %" PRIu64
		       "\r\n\r\n",
		       request->method, request->path, request->id, request->budget_ms, left) != 0)
		return -1;
	for (; left > 0; left -= left < CHUNK_BYTES ? left : CHUNK_BYTES) {
		if (net_write(fd, chunk, left < CHUNK_BYTES ? left : CHUNK_BYTES) != 0)
			return -1;
	}
	return 0;
}

/* Reads the body, at the rate of the request. */
static void read_body(int fd, const struct caller_request *request, uint64_t end_ms,
		      struct caller_answer *answer)
{
	static __thread char buffer[READ_BYTES];
	uint64_t start_ms = net_now_ms();

	while (answer->received < answer->expected && net_now_ms() < end_ms) {
		ssize_t got = net_read_some(fd, buffer, sizeof(buffer));
		uint64_t due_ms;

		if (got <= 0)
			break;
		answer->received += (uint64_t)got;
		if (request->bytes_per_s == 0)
			continue;
		due_ms = start_ms + answer->received * 1000 / request->bytes_per_s;
		if (due_ms > net_now_ms())
			net_sleep_ms(due_ms - net_now_ms());
	}
	answer->is_whole = answer->received == answer->expected;
}

static void read_answer(int fd, const struct caller_request *request, uint64_t end_ms,
			struct caller_answer *answer)
{
	struct net_head head;
	char seal[128];

	if (net_read_head(fd, &head) != 0)
		return;
	answer->status = net_status(&head);
	answer->expected = net_header_number(&head, "content-length", 0);
	answer->received = head.used - head.size;
	answer->is_sealed = net_header(&head, HEADER_SIGNATURE, seal, sizeof(seal));
	read_body(fd, request, end_ms, answer);
}

void caller_send(const struct caller_request *request, struct caller_answer *answer)
{
	uint64_t start_ms = net_now_ms();
	int fd = net_connect(request->ip, FLEET_CALLER_PORT, request->receive_bytes);

	memset(answer, 0, sizeof(*answer));
	record_line("sent %s to %s: %s %s, body of %" PRIu64 " bytes", request->id, request->ip,
		    request->method, request->path, request->body_bytes);
	if (fd >= 0) {
		net_set_timeout(fd, request->budget_ms);
		/* An answer may come before the end of the body, and end its sending. */
		send_request(fd, request);
		read_answer(fd, request, start_ms + request->budget_ms, answer);
		close(fd);
	}
	answer->end_ms = net_now_ms() - start_ms;
	record_line("answered %s: status %d, %" PRIu64 " of %" PRIu64 " bytes, %s%s, after %" PRIu64
		    " ms",
		    request->id, answer->status, answer->received, answer->expected,
		    answer->is_whole ? "whole" : "not whole",
		    answer->is_sealed ? ", with the server's seal" : "", answer->end_ms);
}

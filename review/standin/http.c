/*
 * Blocking HTTP/1.1 for the review's stand-ins.
 */
#include "http.h"

#include "text.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

uint64_t clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in out = {.sin_family = AF_INET};
	char ip[64];
	const char *colon = strrchr(text, ':');

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	inet_pton(AF_INET, ip, &out.sin_addr);
	out.sin_port = htons((uint16_t)atoi(colon + 1));
	return out;
}

int http_listen(const char *address)
{
	struct sockaddr_in at = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0 && listen(fd, 512) == 0)
		return fd;
	fprintf(stderr, "cannot listen on %s: %s\n", address, strerror(errno));
	close(fd);
	return -1;
}

/* Waits until the descriptor is ready. Returns false at the deadline. */
static bool wait_ready(int fd, short events, uint64_t deadline_ms)
{
	struct pollfd at = {.fd = fd, .events = events};
	uint64_t now = clock_ms();

	return now < deadline_ms && poll(&at, 1, (int)(deadline_ms - now)) > 0;
}

int http_connect(const char *address, uint32_t within_ms)
{
	struct sockaddr_in to = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	int on = 1;
	int fault = 0;
	socklen_t size = sizeof(fault);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	if (errno == EINPROGRESS && wait_ready(fd, POLLOUT, clock_ms() + within_ms) &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 && fault == 0)
		return fd;
	close(fd);
	return -1;
}

/* Reads up to `room` bytes. Returns their number, 0 at the end, -1 after a failure or too late. */
static ssize_t read_some(int fd, char *out, size_t room, uint64_t deadline_ms)
{
	ssize_t got;

	do {
		if (!wait_ready(fd, POLLIN, deadline_ms))
			return -1;
		got = recv(fd, out, room, MSG_DONTWAIT);
	} while (got < 0 && (errno == EAGAIN || errno == EINTR));
	return got;
}

/* Reads a body of the stated size, of which `had` bytes came with the head. */
static int read_body(int fd, struct http_message *msg, const char *had, size_t had_size,
		     uint64_t deadline_ms)
{
	char length[32];
	size_t size;

	http_header(msg, "content-length", length, sizeof(length));
	size = (size_t)strtoull(length, NULL, 10);
	msg->body = calloc(1, size + 1);
	if (!msg->body)
		return -1;
	if (had_size > size)
		had_size = size;
	memcpy(msg->body, had, had_size);
	msg->body_size = had_size;
	while (msg->body_size < size) {
		ssize_t got = read_some(fd, msg->body + msg->body_size, size - msg->body_size,
					deadline_ms);

		if (got <= 0)
			return -1;
		msg->body_size += (size_t)got;
	}
	return 1;
}

int http_read(int fd, struct http_message *msg, uint32_t within_ms)
{
	uint64_t deadline_ms = clock_ms() + within_ms;
	char buffer[HTTP_HEAD_BYTES];
	size_t used = 0;

	memset(msg, 0, sizeof(*msg));
	for (;;) {
		ssize_t got = read_some(fd, buffer + used, sizeof(buffer) - 1 - used, deadline_ms);
		char *end;
		size_t head;

		if (got <= 0)
			return used == 0 && got == 0 ? 0 : -1;
		used += (size_t)got;
		buffer[used] = '\0';
		end = strstr(buffer, "\r\n\r\n");
		if (!end)
			continue;
		head = (size_t)(end - buffer) + 4;
		memcpy(msg->head, buffer, head - 2);
		return read_body(fd, msg, buffer + head, used - head, deadline_ms);
	}
}

void http_free(struct http_message *msg)
{
	free(msg->body);
	msg->body = NULL;
}

bool http_write(int fd, const char *text, size_t size)
{
	uint64_t deadline_ms = clock_ms() + 10000;

	while (size > 0) {
		ssize_t sent = send(fd, text, size, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (sent < 0 && errno != EAGAIN)
			return false;
		if (sent < 0 && !wait_ready(fd, POLLOUT, deadline_ms))
			return false;
		if (sent < 0)
			continue;
		text += sent;
		size -= (size_t)sent;
	}
	return true;
}

void http_header(const struct http_message *msg, const char *name, char *out, size_t room)
{
	const char *line = strstr(msg->head, "\r\n");
	size_t size = strlen(name);

	out[0] = '\0';
	while (line && line[2]) {
		const char *end = strstr(line + 2, "\r\n");
		const char *value = line + 2 + size + 1;

		if (strncasecmp(line + 2, name, size) == 0 && line[2 + size] == ':' && end) {
			while (*value == ' ')
				value++;
			snprintf(out, room, "%.*s", (int)(end - value), value);
			return;
		}
		line = end;
	}
}

void http_word(const struct http_message *msg, int index, char *out, size_t room)
{
	const char *at = msg->head;

	for (int i = 0; i < index && at; i++) {
		at = strchr(at, ' ');
		at = at ? at + 1 : NULL;
	}
	snprintf(out, room, "%.*s", at ? (int)strcspn(at, " \r\n") : 0, at ? at : "");
}

int http_status(const struct http_message *msg)
{
	char word[16];

	http_word(msg, 1, word, sizeof(word));
	return atoi(word);
}

int http_call(const char *address, const char *method, const char *path, const char *headers,
	      const char *body, uint32_t within_ms, struct http_message *answer)
{
	int fd = http_connect(address, within_ms < 1000 ? within_ms : 1000);
	char *text;
	int status = 0;

	memset(answer, 0, sizeof(*answer));
	if (fd < 0)
		return 0;
	text = text_format("%s %s HTTP/1.1\r\nhost: node\r\n%scontent-length: %zu\r\n\r\n%s",
			   method, path, headers, strlen(body), body);
	if (http_write(fd, text, strlen(text)) && http_read(fd, answer, within_ms) == 1)
		status = http_status(answer);
	free(text);
	close(fd);
	return status;
}

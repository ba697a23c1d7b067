#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define DROP_BYTES	 65536
#define ETHERNET_SEGMENT 1448 /* of TCP over a link with packets of 1,500 bytes */
#define STACK_BYTES	 (256 * 1024)
#define LINE_BYTES	 4096
#define LISTEN_QUEUE	 512

uint64_t net_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void net_sleep_ms(uint64_t ms)
{
	struct timespec left = {(time_t)(ms / 1000), (long)(ms % 1000) * 1000000};

	while (nanosleep(&left, &left) != 0 && errno == EINTR)
		;
}

static struct sockaddr_in address_of(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

int net_listen(const char *ip, uint16_t port)
{
	struct sockaddr_in address = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, LISTEN_QUEUE) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

struct service {
	int fd;
	void (*fn)(int fd, void *user);
	void *user;
};

/* Starts a detached thread; ends the process if there is none to be had. */
static void start_thread(void *(*run)(void *user), void *user)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, STACK_BYTES);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, user) != 0) {
		fprintf(stderr, "no thread\n");
		_exit(2);
	}
	pthread_attr_destroy(&attributes);
}

static void *serve_one(void *user)
{
	struct service *service = user;

	service->fn(service->fd, service->user);
	close(service->fd);
	free(service);
	return NULL;
}

static void *accept_all(void *user)
{
	struct service *listener = user;

	for (;;) {
		int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		struct service *service;
		int on = 1;

		if (fd < 0 && errno == EINVAL)
			break;
		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		service = malloc(sizeof(*service));
		*service = *listener;
		service->fd = fd;
		start_thread(serve_one, service);
	}
	close(listener->fd);
	free(listener);
	return NULL;
}

void net_serve(int listener, void (*fn)(int fd, void *user), void *user)
{
	struct service *service = malloc(sizeof(*service));

	*service = (struct service){listener, fn, user};
	start_thread(accept_all, service);
}

int net_connect(const char *ip, uint16_t port, int receive_bytes)
{
	struct sockaddr_in address = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int segment = ETHERNET_SEGMENT;
	int on = 1;

	if (receive_bytes > 0) {
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	}
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

void net_set_timeout(int fd, uint64_t ms)
{
	struct timeval limit = {(time_t)(ms / 1000), (suseconds_t)(ms % 1000) * 1000};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

int net_read_head(int fd, struct net_head *head)
{
	head->used = 0;
	for (;;) {
		ssize_t size =
			recv(fd, head->text + head->used, NET_HEAD_BYTES - 1 - head->used, 0);
		char *end;

		if (size <= 0)
			return -1;
		head->used += (size_t)size;
		head->text[head->used] = '\0';
		end = strstr(head->text, "\r\n\r\n");
		if (end) {
			head->size = (size_t)(end - head->text) + 4;
			return 0;
		}
		if (head->used == NET_HEAD_BYTES - 1)
			return -1;
	}
}

bool net_header(const struct net_head *head, const char *name, char *out, size_t room)
{
	const char *end = head->text + head->size;
	const char *line = strchr(head->text, '\n');
	size_t name_size = strlen(name);

	for (; line && line + 1 < end; line = strchr(line + 1, '\n')) {
		const char *value = line + 1 + name_size;
		size_t size;

		if (strncasecmp(line + 1, name, name_size) != 0 || *value != ':')
			continue;
		value += 1 + strspn(value + 1, " ");
		size = strcspn(value, "\r\n");
		if (size >= room)
			return false;
		memcpy(out, value, size);
		out[size] = '\0';
		return true;
	}
	return false;
}

uint64_t net_header_number(const struct net_head *head, const char *name, uint64_t absent)
{
	char text[32];

	return net_header(head, name, text, sizeof(text)) ? strtoull(text, NULL, 10) : absent;
}

int net_status(const struct net_head *head)
{
	return strncmp(head->text, "HTTP/1.", 7) == 0 ? atoi(head->text + 9) : 0;
}

ssize_t net_read_some(int fd, char *out, size_t room)
{
	return recv(fd, out, room, 0);
}

uint64_t net_drop_body(int fd, const struct net_head *head, uint64_t size)
{
	static __thread char buffer[DROP_BYTES];
	uint64_t done = head->used - head->size;

	while (done < size) {
		uint64_t left = size - done;
		ssize_t got = recv(fd, buffer, left < DROP_BYTES ? left : DROP_BYTES, 0);

		if (got <= 0)
			break;
		done += (uint64_t)got;
	}
	return done;
}

int net_write(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size > 0) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return -1;
		at += sent;
		size -= (size_t)sent;
	}
	return 0;
}

int net_printf(int fd, const char *format, ...)
{
	char text[LINE_BYTES];
	va_list arguments;
	int size;

	va_start(arguments, format);
	size = vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	return size < LINE_BYTES ? net_write(fd, text, (size_t)size) : -1;
}

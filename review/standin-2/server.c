#include "server.h"

#include "names.h"
#include "net.h"
#include "record.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define REPORT_PERIOD_MS 1500
#define REPORT_LIMIT_MS	 1000
#define CHUNK_BYTES	 65536
#define ID_BYTES	 64
#define LOAD_FORMAT	 HEADER_LOAD ": %u,%u,%u,100\r\n" HEADER_INSTANCE ": %s\r\n"
#define LOAD_OF(s)	 (s)->running, (s)->waiting, (s)->slots, (s)->instance

/* Takes a slot. Returns false if the queue is full. */
static bool take_slot(struct server *server)
{
	bool is_taken = false;

	pthread_mutex_lock(&server->mutex);
	if (server->running < server->slots || server->waiting < server->queue) {
		server->waiting++;
		while (server->running >= server->slots)
			pthread_cond_wait(&server->freed, &server->mutex);
		server->waiting--;
		server->running++;
		is_taken = true;
	}
	pthread_mutex_unlock(&server->mutex);
	return is_taken;
}

static void free_slot(struct server *server)
{
	pthread_mutex_lock(&server->mutex);
	server->running--;
	pthread_cond_signal(&server->freed);
	pthread_mutex_unlock(&server->mutex);
}

/* Sends the answer of a request that ran. */
static int send_answer(int fd, const struct server *server, const char *id)
{
	static const char chunk[CHUNK_BYTES];
	uint64_t left = server->answer_bytes;

	if (net_printf(fd,
		       "HTTP/1.1 200 OK\r\n" HEADER_REQUEST_ID ": %s\r\n" HEADER_SIGNATURE
		       ": seal.%s\r\n" LOAD_FORMAT "content-length: %" PRIu64 "\r\n\r\n",
		       id, id, LOAD_OF(server), left) != 0)
		return -1;
	for (; left > 0; left -= left < CHUNK_BYTES ? left : CHUNK_BYTES) {
		if (net_write(fd, chunk, left < CHUNK_BYTES ? left : CHUNK_BYTES) != 0)
			return -1;
	}
	return 0;
}

/* Answers without having run the request. */
static int reject(int fd, const struct server *server, int status, const char *id)
{
	record_line("server %s rejects %s with %d", server->instance, id, status);
	return net_printf(fd,
			  "HTTP/1.1 %d Rejected\r\n" HEADER_REQUEST_ID ": %s\r\n" HEADER_NOT_RUN
			  ": 1\r\n" LOAD_FORMAT "content-length: 0\r\n\r\n",
			  status, id, LOAD_OF(server));
}

/* Works on a request and answers it. */
static int run(int fd, struct server *server, const char *id, uint64_t body_bytes)
{
	int result;

	server->run_count++;
	record_line("server %s runs %s, body of %" PRIu64 " bytes", server->instance, id,
		    body_bytes);
	net_sleep_ms(server->work_ms);
	free_slot(server);
	result = send_answer(fd, server, id);
	record_line("server %s %s %s", server->instance,
		    result == 0 ? "has answered" : "could not answer", id);
	return result;
}

static int handle(int fd, struct server *server, const struct net_head *head)
{
	uint64_t size = net_header_number(head, "content-length", 0);
	uint64_t body_bytes = net_drop_body(fd, head, size);
	char id[ID_BYTES] = "";
	char expected[ID_BYTES];

	if (body_bytes != size)
		return -1;
	if (strncmp(head->text, "GET /health ", 12) == 0)
		return net_printf(fd, "HTTP/1.1 200 OK\r\n" LOAD_FORMAT "content-length: 0\r\n\r\n",
				  LOAD_OF(server));
	if (!net_header(head, HEADER_REQUEST_ID, id, sizeof(id)))
		return reject(fd, server, 400, "-");
	if (net_header(head, HEADER_EXPECTED_INSTANCE, expected, sizeof(expected)) &&
	    strcmp(expected, server->instance) != 0)
		return reject(fd, server, 421, id);
	if (!take_slot(server))
		return reject(fd, server, 503, id);
	return run(fd, server, id, body_bytes);
}

static void serve(int fd, void *user)
{
	struct net_head head;

	while (net_read_head(fd, &head) == 0) {
		if (handle(fd, user, &head) != 0)
			return;
	}
}

/* Sends one report to the server's own node. */
static void send_report(const struct server *server, json_t *report)
{
	int fd = net_connect(server->ip, server->report_port, 0);
	struct net_head head;
	char *text;

	if (fd < 0)
		return;
	net_set_timeout(fd, REPORT_LIMIT_MS);
	text = json_dumps(report, JSON_COMPACT);
	net_printf(fd,
		   "POST " PATH_HEARTBEAT "%s HTTP/1.1\r\nhost: node\r\n"
		   "content-type: application/json\r\ncontent-length: %zu\r\n\r\n%s",
		   server->instance, strlen(text), text);
	if (net_read_head(fd, &head) != 0 || net_status(&head) != 200)
		record_line("a report of server %s was not acknowledged", server->instance);
	free(text);
	close(fd);
}

static void *report_always(void *user)
{
	const struct server *server = user;
	json_t *report = json_load_file(server->report, 0, NULL);
	json_int_t born_ms = (json_int_t)time(NULL) * 1000;
	char address[64];

	if (!report) {
		fprintf(stderr, "no file %s\n", server->report);
		_exit(2);
	}
	snprintf(address, sizeof(address), "%s:%u", server->ip, server->port);
	json_object_set_new(report, "service", json_string(server->service));
	json_object_set_new(report, "address", json_string(address));
	json_object_set_new(report, "slots", json_integer(server->slots));
	json_object_set_new(report, "born", json_integer(born_ms));
	for (json_int_t sequence = 1;; sequence++) {
		json_object_set_new(report, "sequence", json_integer(sequence));
		send_report(server, report);
		net_sleep_ms(REPORT_PERIOD_MS);
	}
	return NULL;
}

int server_start(struct server *server)
{
	int fd = net_listen(server->ip, server->port);
	pthread_t thread;

	if (fd < 0)
		return -1;
	pthread_mutex_init(&server->mutex, NULL);
	pthread_cond_init(&server->freed, NULL);
	net_serve(fd, serve, server);
	return pthread_create(&thread, NULL, report_always, server) == 0 ? 0 : -1;
}

#include "server.h"

#include "names.h"
#include "net.h"
#include "record.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
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

/* Counts a request that arrives too late. */
static void count_late(struct server *server, const char *id)
{
	uint64_t limit_ms = server->limit_ms;

	if (limit_ms == 0 || net_now_ms() <= limit_ms)
		return;
	server->late_count++;
	record_line("server %s gets %s %" PRIu64 " ms too late", server->instance, id,
		    net_now_ms() - limit_ms);
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
	count_late(server, id);
	if (!take_slot(server))
		return reject(fd, server, 503, id);
	return run(fd, server, id, body_bytes);
}

/* Adds or removes a connection. */
static void exchange_connection(struct server *server, int from, int to)
{
	pthread_mutex_lock(&server->mutex);
	for (uint32_t i = 0; i < SERVER_CONNECTIONS_MAX; i++) {
		if (server->connections[i] == from) {
			server->connections[i] = to;
			break;
		}
	}
	pthread_mutex_unlock(&server->mutex);
}

static void serve(int fd, void *user)
{
	struct server *server = user;
	struct net_head head;

	exchange_connection(server, 0, fd);
	while (net_read_head(fd, &head) == 0) {
		if (handle(fd, server, &head) != 0)
			break;
	}
	exchange_connection(server, fd, 0);
}

/* Sends a report to the server's own node. Returns the status of the answer, or 0. */
static int send_report(const struct server *server, const char *path, json_t *report)
{
	int fd = net_connect(server->ip, server->report_port, 0);
	struct net_head head;
	int status = 0;
	char *text;

	if (fd < 0)
		return 0;
	net_set_timeout(fd, REPORT_LIMIT_MS);
	text = json_dumps(report, JSON_COMPACT);
	net_printf(fd,
		   "POST %s%s HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\n"
		   "content-length: %zu\r\n\r\n%s",
		   path, server->instance, strlen(text), text);
	if (net_read_head(fd, &head) == 0)
		status = net_status(&head);
	free(text);
	close(fd);
	return status;
}

/* Sends a report of a state. */
static int send_state(struct server *server, uint64_t sequence, bool is_draining)
{
	json_t *report = json_load_file(server->report, 0, NULL);
	char address[64];
	int status;

	if (!report) {
		fprintf(stderr, "no file %s\n", server->report);
		_exit(2);
	}
	snprintf(address, sizeof(address), "%s:%u", server->ip, server->port);
	json_object_set_new(report, "service", json_string(server->service));
	json_object_set_new(report, "address", json_string(address));
	json_object_set_new(report, "slots", json_integer(server->slots));
	json_object_set_new(report, "born", json_integer((json_int_t)server->born_ms));
	json_object_set_new(report, "sequence", json_integer((json_int_t)sequence));
	if (is_draining)
		json_object_set_new(report, "state", json_string("draining"));
	status = send_report(server, PATH_HEARTBEAT, report);
	json_decref(report);
	return status;
}

/* Reports the state regularly until the server's next start or its end. */
static void *report_always(void *user)
{
	struct server *server = user;
	uint32_t life = server->life;

	while (server->life == life) {
		if (!server->is_silent &&
		    send_state(server, ++server->sequence, server->is_leaving) != 200)
			record_line("a report of server %s was not acknowledged", server->instance);
		net_sleep_ms(REPORT_PERIOD_MS);
	}
	return NULL;
}

int server_start(struct server *server)
{
	pthread_t thread;

	server->listener = net_listen(server->ip, server->port);
	if (server->listener < 0)
		return -1;
	if (server->life == 0) {
		pthread_mutex_init(&server->mutex, NULL);
		pthread_cond_init(&server->freed, NULL);
	}
	server->life++;
	server->sequence = 0;
	if (server->born_ms == 0)
		server->born_ms = server_clock_ms();
	net_serve(server->listener, serve, server);
	return pthread_create(&thread, NULL, report_always, server) == 0 ? 0 : -1;
}

int64_t server_clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void server_crash(struct server *server)
{
	struct linger at_once = {1, 0};

	record_line("server %s ends, with %u requests at work", server->instance, server->running);
	server->life++;
	shutdown(server->listener, SHUT_RDWR);
	pthread_mutex_lock(&server->mutex);
	for (uint32_t i = 0; i < SERVER_CONNECTIONS_MAX; i++) {
		int fd = server->connections[i];

		if (fd == 0)
			continue;
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
		shutdown(fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&server->mutex);
}

int server_drain(struct server *server)
{
	int status;

	server->is_leaving = true;
	status = send_state(server, ++server->sequence, true);
	record_line("server %s reports that it is draining: %d", server->instance, status);
	return status;
}

int server_report_late(struct server *server, uint64_t sequence)
{
	int status = send_state(server, sequence, false);

	record_line("a report of server %s from before arrives late: %d", server->instance, status);
	return status;
}

int server_deregister(const struct server *server)
{
	json_t *report = json_pack("{s:I}", "born", (json_int_t)server->born_ms);
	int status = send_report(server, PATH_DEREGISTER, report);

	json_decref(report);
	record_line("server %s reports that it is gone: %d", server->instance, status);
	return status;
}

/*
 * standin-link: the network link between two regions. Forwards TCP and UDP on 127.0.0.1 with a
 * delay and a rate for each direction. It can be cut, and can make open connections go silent.
 *
 * POST /forwards {"tcp_target":N,"udp_target":N,"toward":0|1} returns {"id":N,"tcp_port":N,
 * "udp_port":N}. POST /forwards/ID sets the targets later. toward is the region of the target, and
 * therefore the direction of the data sent to it. POST /control accepts cut, silence, delay_ms and
 * rate_mbit. GET /control/stats returns the bytes and packets forwarded and dropped.
 */
#include "standin/common/server.h"
#include "standin/link/pipe.h"
#include "standin/link/stream.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#define FORWARDS_MAX   512
#define FORWARDS_PATH  "/forwards"
#define DATAGRAM_BYTES 65536
#define BACKLOG	       512

struct forward {
	uv_tcp_t tcp;
	uv_udp_t udp;
	uint16_t tcp_target;
	uint16_t udp_target;
	int toward; /* region of the target, 0 or 1 */
	struct session *sessions;
};

/* UDP traffic between one sender and the target of a forward. */
struct session {
	struct session *next;
	struct forward *forward;
	struct sockaddr_in sender;
	uv_udp_t udp; /* socket towards the target */
};

static struct {
	uv_loop_t *loop;
	struct forward *forwards[FORWARDS_MAX];
	uint32_t count;
	uint64_t delay_ms;
	double rate_mbit;
} links;

/* Allocates a buffer, which is freed when the packet is delivered or dropped. */
static void alloc_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(malloc(DATAGRAM_BYTES), DATAGRAM_BYTES);
}

/* Sends a packet that has passed the link to the target. */
static void deliver_to_target(void *receiver, char *data, size_t bytes)
{
	struct session *session = receiver;
	uv_buf_t buf = uv_buf_init(data, (unsigned int)bytes);
	struct sockaddr_in addr;

	uv_ip4_addr("127.0.0.1", session->forward->udp_target, &addr);
	uv_udp_try_send(&session->udp, &buf, 1, (struct sockaddr *)&addr);
	free(data);
}

/* Sends an answer of the target that has passed the link to the sender. */
static void deliver_to_sender(void *receiver, char *data, size_t bytes)
{
	struct session *session = receiver;
	uv_buf_t buf = uv_buf_init(data, (unsigned int)bytes);

	uv_udp_try_send(&session->forward->udp, &buf, 1, (struct sockaddr *)&session->sender);
	free(data);
}

/* Sends a packet from the target through the link. */
static void on_answer(uv_udp_t *udp, ssize_t bytes, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned int flags)
{
	struct session *session = udp->data;

	(void)flags;
	if (bytes <= 0 || !from)
		free(buf->base);
	else
		pipe_send(1 - session->forward->toward, PIPE_UDP, buf->base, (size_t)bytes,
			  deliver_to_sender, session);
}

/* Binds a UDP socket to any port of 127.0.0.1. */
static void bind_udp(uv_udp_t *udp, void *data, uv_udp_recv_cb on_packet)
{
	struct sockaddr_in any;

	uv_ip4_addr("127.0.0.1", 0, &any);
	uv_udp_init(links.loop, udp);
	udp->data = data;
	uv_udp_bind(udp, (struct sockaddr *)&any, 0);
	uv_udp_recv_start(udp, alloc_buffer, on_packet);
}

/* Returns the session of a sender, identified by its port. Creates it if there is none. */
static struct session *get_session(struct forward *forward, const struct sockaddr_in *sender)
{
	struct session *session = forward->sessions;

	while (session && session->sender.sin_port != sender->sin_port)
		session = session->next;
	if (session)
		return session;
	session = calloc(1, sizeof(*session));
	session->next = forward->sessions;
	forward->sessions = session;
	session->forward = forward;
	session->sender = *sender;
	bind_udp(&session->udp, session, on_answer);
	return session;
}

/* Sends a packet from a sender through the link. */
static void on_packet(uv_udp_t *udp, ssize_t bytes, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned int flags)
{
	struct forward *forward = udp->data;

	(void)flags;
	if (bytes <= 0 || !from || forward->udp_target == 0)
		free(buf->base);
	else
		pipe_send(forward->toward, PIPE_UDP, buf->base, (size_t)bytes, deliver_to_target,
			  get_session(forward, (const struct sockaddr_in *)from));
}

/* Accepts a TCP connection and connects it to the target. */
static void on_connection(uv_stream_t *listener, int status)
{
	struct forward *forward = listener->data;

	if (status == 0)
		stream_accept(listener, forward->tcp_target, forward->toward);
}

/* Returns the port of an address in host byte order. */
static json_int_t get_port(const struct sockaddr_in *addr)
{
	return ntohs(addr->sin_port);
}

/* Applies the targets and the direction in the body and keeps the others. */
static void set_targets(struct forward *forward, const json_t *body)
{
	json_t *value;

	if ((value = json_object_get(body, "tcp_target")))
		forward->tcp_target = (uint16_t)json_integer_value(value);
	if ((value = json_object_get(body, "udp_target")))
		forward->udp_target = (uint16_t)json_integer_value(value);
	if ((value = json_object_get(body, "toward")))
		forward->toward = json_integer_value(value) != 0;
}

/* Creates a forward and answers with its id and ports. */
static int add_forward(h2o_req_t *req, const json_t *body)
{
	struct forward *forward = calloc(1, sizeof(*forward));
	struct sockaddr_in tcp_addr;
	struct sockaddr_in udp_addr;
	int bytes = sizeof(tcp_addr);

	set_targets(forward, body);
	uv_ip4_addr("127.0.0.1", 0, &tcp_addr);
	uv_tcp_init(links.loop, &forward->tcp);
	forward->tcp.data = forward;
	uv_tcp_bind(&forward->tcp, (struct sockaddr *)&tcp_addr, 0);
	uv_listen((uv_stream_t *)&forward->tcp, BACKLOG, on_connection);
	uv_tcp_getsockname(&forward->tcp, (struct sockaddr *)&tcp_addr, &bytes);
	bind_udp(&forward->udp, forward, on_packet);
	uv_udp_getsockname(&forward->udp, (struct sockaddr *)&udp_addr, &bytes);
	links.forwards[links.count] = forward;
	return server_send_json(req, 200,
				json_pack("{s:I,s:I,s:I}", "id", (json_int_t)links.count++,
					  "tcp_port", get_port(&tcp_addr), "udp_port",
					  get_port(&udp_addr)));
}

/* Answers POST /forwards and POST /forwards/ID. */
static int handle_forwards(h2o_req_t *req, const json_t *body)
{
	size_t skip = strlen(FORWARDS_PATH) + 1;
	uint32_t id;

	if (server_path_is(req, FORWARDS_PATH) && links.count < FORWARDS_MAX)
		return add_forward(req, body);
	if (req->path_normalized.len <= skip)
		return server_send_text(req, 400, "{}", 2);
	id = (uint32_t)strtoul(req->path_normalized.base + skip, NULL, 10);
	if (id >= links.count)
		return server_send_text(req, 404, "{}", 2);
	set_targets(links.forwards[id], body);
	return server_send_text(req, 200, "{}", 2);
}

/* Answers POST /control: applies the settings in the body and keeps the others. */
static int handle_control(h2o_req_t *req, const json_t *body)
{
	json_t *value;

	if ((value = json_object_get(body, "delay_ms")))
		links.delay_ms = (uint64_t)json_integer_value(value);
	if ((value = json_object_get(body, "rate_mbit")))
		links.rate_mbit = json_number_value(value);
	pipe_set(links.delay_ms, links.rate_mbit);
	if (json_is_true(json_object_get(body, "silence")))
		stream_silence_all();
	if ((value = json_object_get(body, "cut"))) {
		pipe_set_cut(json_is_true(value));
		stream_update_reading();
	}
	return server_send_text(req, 200, "{}", 2);
}

/* Answers GET /control/stats: traffic towards region 0 and region 1, and open connections. */
static int handle_stats(h2o_req_t *req)
{
	json_t *toward = json_array();

	for (int i = 0; i < 2; i++) {
		const struct pipe_counts *counts = pipe_counts_of(i);

		json_array_append_new(toward,
				      json_pack("{s:I,s:I,s:I,s:I,s:I}", "tcp_bytes",
						(json_int_t)counts->bytes[PIPE_TCP], "tcp_packets",
						(json_int_t)counts->packets[PIPE_TCP], "udp_bytes",
						(json_int_t)counts->bytes[PIPE_UDP], "udp_packets",
						(json_int_t)counts->packets[PIPE_UDP], "dropped",
						(json_int_t)counts->dropped));
	}
	return server_send_json(
		req, 200,
		json_pack("{s:o,s:i}", "toward", toward, "connections", (int)stream_count()));
}

/* Dispatches a request by its path. */
static int handle_request(h2o_req_t *req)
{
	json_t *body;

	if (server_path_is(req, "/control/stats"))
		return handle_stats(req);
	body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	if (!json_is_object(body))
		server_send_text(req, 400, "{}", 2);
	else if (server_path_is(req, "/control"))
		handle_control(req, body);
	else
		handle_forwards(req, body);
	json_decref(body);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0("p", "port", "N", "port on 127.0.0.1 (0: any)");
	struct arg_int *delay = arg_int0(NULL, "delay-ms", "MS", "one-way delay");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate-mbit", "N", "Mbit/s in each direction");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = {port, delay, rate, help, end};

	port->ival[0] = 0;
	delay->ival[0] = 8;
	rate->dval[0] = 30;
	if (arg_parse(argc, argv, table) > 0 || rate->dval[0] <= 0) {
		arg_print_errors(stderr, end, "standin-link");
		return 2;
	}
	if (help->count > 0) {
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return 0;
	}
	links.delay_ms = (uint64_t)delay->ival[0];
	links.rate_mbit = rate->dval[0];
	links.loop = server_start((uint16_t)port->ival[0], handle_request, NULL);
	if (!links.loop)
		return 3;
	pipe_init(links.loop, links.delay_ms, links.rate_mbit);
	return server_run();
}

/*
 * Shell of gossip: the UDP socket and the timer with which membership, configuration versions and
 * demands are exchanged, and the use and shares of customers.
 */
#include "fescuemilld/node/gossip_shell.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS		50
#define RECEIVE_BYTES	2048 /* larger than GOSSIP_PACKET_BYTES */
#define CLOSING_HANDLES 2    /* the socket and the timer */

struct gossip_shell {
	uv_udp_t socket;
	uv_timer_t timer;
	struct gossip_shell_options options;
	struct gossip *gossip; /* NULL until started */
	char buf[RECEIVE_BYTES];
	uint16_t port;	       /* that the socket is bound to */
	uint32_t open_handles; /* handles that libuv has not closed yet */
};

/* Sends one packet. It is dropped if the socket's buffer is full, as UDP may drop any packet. */
static void send_packet(void *user, uint32_t ip, uint16_t port, const uint8_t *data, size_t size)
{
	struct gossip_shell *shell = user;
	struct sockaddr_in addr = {.sin_family = AF_INET};
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned int)size);

	addr.sin_addr.s_addr = htonl(ip);
	addr.sin_port = htons(port);
	uv_udp_try_send(&shell->socket, &buf, 1, (struct sockaddr *)&addr);
}

static void on_newer_config(void *user, uint64_t node_id, uint64_t version)
{
	struct gossip_shell *shell = user;

	shell->options.on_newer_config(shell->options.user, node_id, version);
}

static void on_demand(void *user, uint64_t node_id, const uint8_t *data, size_t size)
{
	struct gossip_shell *shell = user;

	shell->options.on_demand(shell->options.user, node_id, data, size);
}

static void on_allotment(void *user, uint64_t node_id, const uint8_t *data, size_t size)
{
	struct gossip_shell *shell = user;

	if (shell->options.on_allotment)
		shell->options.on_allotment(shell->options.user, node_id, data, size);
}

/* Passes a message of requests that ran when servers ended to the owner. */
static void on_crashes(void *user, const uint8_t *data, size_t size)
{
	struct gossip_shell *shell = user;

	if (shell->options.on_crashes)
		shell->options.on_crashes(shell->options.user, data, size);
}

static bool on_new_incarnation(void *user, uint64_t incarnation)
{
	struct gossip_shell *shell = user;

	return shell->options.allow_new_incarnation(shell->options.user, incarnation);
}

static uint64_t proof_time(void *user)
{
	(void)user;
	return clock_boottime_us();
}

static void on_proof_tell(void *user, struct key_proof_item *out)
{
	struct gossip_shell *shell = user;

	shell->options.proof_tell(shell->options.user, out);
}

static void on_proof_hear(void *user, const struct key_proof_item *proof, uint64_t asked_us)
{
	struct gossip_shell *shell = user;

	shell->options.proof_hear(shell->options.user, proof, asked_us);
}

/* Hands libuv the only receive buffer: a packet is handled before the next one is read. */
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct gossip_shell *shell = handle->data;

	(void)suggested;
	*buf = uv_buf_init(shell->buf, sizeof(shell->buf));
}

/* Passes a received packet to gossip; ignores errors and truncated packets. */
static void on_receive(uv_udp_t *socket, ssize_t size, const uv_buf_t *buf,
		       const struct sockaddr *from, unsigned int flags)
{
	struct gossip_shell *shell = socket->data;
	const struct sockaddr_in *addr = (const struct sockaddr_in *)from;

	if (size <= 0 || !from || (flags & UV_UDP_PARTIAL))
		return;
	gossip_receive(shell->gossip, ntohl(addr->sin_addr.s_addr), ntohs(addr->sin_port),
		       (const uint8_t *)buf->base, (size_t)size, clock_monotonic_us());
}

/* Updates the counters of measurement and control traffic, in bytes and bytes/s, and of members
 * alive. */
static void update_counters(const struct gossip_shell *shell)
{
	const struct budget *bud = shell->options.budget;

	counter_set(COUNTER_CONTROL_SPENT, bud->node.spent_bytes);
	counter_set(COUNTER_CONTROL_REFUSED, bud->node.refused_bytes);
	counter_set(COUNTER_CONTROL_ALLOWED, bud->node.rate_bytes_per_s);
	counter_set(COUNTER_LINK_SPENT, bud->link.spent_bytes);
	counter_set(COUNTER_LINK_REFUSED, bud->link.refused_bytes);
	counter_set(COUNTER_LINK_ALLOWED, bud->link.rate_bytes_per_s);
	counter_set(COUNTER_MEMBERS_ALIVE,
		    member_count_state(shell->options.members, MEMBER_ALIVE));
}

static void on_timer(uv_timer_t *timer)
{
	struct gossip_shell *shell = timer->data;

	gossip_tick(shell->gossip, clock_monotonic_us());
	update_counters(shell);
}

/* Frees the shell once both handles are closed. */
static void on_closed(uv_handle_t *handle)
{
	struct gossip_shell *shell = handle->data;

	if (--shell->open_handles == 0)
		free(shell);
}

static void close_handles(struct gossip_shell *shell)
{
	uv_close((uv_handle_t *)&shell->socket, on_closed);
	uv_close((uv_handle_t *)&shell->timer, on_closed);
}

/* Binds the socket; returns 0 or a libuv error number. */
static int bind_socket(struct gossip_shell *shell)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int size = sizeof(addr);
	int rc;

	addr.sin_addr.s_addr = htonl(shell->options.ip);
	addr.sin_port = htons(shell->options.port);
	rc = uv_udp_bind(&shell->socket, (struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_udp_getsockname(&shell->socket, (struct sockaddr *)&addr, &size);
	shell->port = ntohs(addr.sin_port);
	return rc;
}

/* Opens the socket. Errors: ERROR_SYSTEM, ERROR_MEMORY. */
int gossip_shell_open(struct gossip_shell **out, uv_loop_t *loop,
		      const struct gossip_shell_options *options, struct error *err)
{
	struct gossip_shell *shell = calloc(1, sizeof(*shell));
	int rc;

	if (!shell)
		return error_set(err, ERROR_MEMORY, "no memory for gossip");
	shell->options = *options;
	shell->open_handles = CLOSING_HANDLES;
	uv_udp_init(loop, &shell->socket);
	uv_timer_init(loop, &shell->timer);
	shell->socket.data = shell;
	shell->timer.data = shell;
	rc = bind_socket(shell);
	if (rc != 0) {
		close_handles(shell);
		return error_set_errno(err, -rc, "cannot bind UDP port %u", options->port);
	}
	*out = shell;
	return 0;
}

/* Returns the port that the socket is bound to. */
uint16_t gossip_shell_port(const struct gossip_shell *shell)
{
	return shell->port;
}

/* Starts gossip with `self` as this node's member record. Errors: ERROR_SYSTEM, ERROR_MEMORY. */
int gossip_shell_start(struct gossip_shell *shell, const struct member *self, uint64_t seed,
		       struct error *err)
{
	struct gossip_io io = {
		.send = send_packet,
		.newer_config = on_newer_config,
		.user = shell,
		.demand = on_demand,
		.allotment = on_allotment,
		.crashes = on_crashes,
		.allow_new_incarnation = on_new_incarnation,
		.proof_time = proof_time,
		.proof_tell = on_proof_tell,
		.proof_hear = on_proof_hear,
	};
	int rc;

	if (gossip_open(&shell->gossip, self, shell->options.members, shell->options.budget, &io,
			seed, clock_monotonic_us(), err) != 0)
		return -1;
	rc = uv_udp_recv_start(&shell->socket, on_alloc, on_receive);
	if (rc != 0)
		return error_set_errno(err, -rc, "cannot receive gossip");
	uv_timer_start(&shell->timer, on_timer, TICK_MS, TICK_MS);
	return 0;
}

/* Returns the gossip state; NULL before gossip_shell_start(). */
struct gossip *gossip_shell_gossip(struct gossip_shell *shell)
{
	return shell->gossip;
}

/* Ends gossip and closes the socket. Memory is freed when the loop has closed the handles. */
void gossip_shell_close(struct gossip_shell *shell)
{
	gossip_close(shell->gossip);
	close_handles(shell);
}

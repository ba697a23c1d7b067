/*
 * Crash shell: messages and log lines around decide/crash_table.c.
 */
#include "fescuemilld/node/crash_shell.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/decide/crash_wire.h"

#include <inttypes.h>
#include <stdlib.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define NEWS_FANOUT    4 /* members that news is sent to, by each node to which it is new */
#define TELL_PERIOD_US (500 * USEC_PER_MSEC)

struct crash_shell {
	struct crash_table table;
	struct gossip *gossip;
	uint64_t own_id;
	const char *caller_header;
	uint32_t ends; /* of this node's backend server, while it ran calls */
	uint64_t told_us;
};

int crash_shell_open(struct crash_shell **out, struct gossip *gossip, uint64_t own_id,
		     const char *caller_header, struct error *err)
{
	struct crash_shell *shell = calloc(1, sizeof(*shell));

	if (!shell)
		return error_set(err, ERROR_MEMORY, "no memory for the crash shell");
	shell->gossip = gossip;
	shell->own_id = own_id;
	shell->caller_header = caller_header;
	*out = shell;
	return 0;
}

void crash_shell_close(struct crash_shell *shell)
{
	free(shell);
}

static void send_message(struct crash_shell *shell, const struct crash_message *message,
			 uint32_t fanout, uint64_t now_us)
{
	uint8_t data[CRASH_MESSAGE_BYTES_MAX];
	size_t size = crash_write(message, data);

	if (message->count > 0)
		gossip_spread_crashes(shell->gossip, fanout, data, size, now_us);
}

/* Adds what is known of a request to a message. */
static void add_news(const struct crash_shell *shell, uint64_t digest, struct crash_message *news,
		     uint64_t now_us)
{
	if (news->count < CRASH_MESSAGE_ITEMS_MAX &&
	    crash_find(&shell->table, digest, &news->items[news->count], now_us))
		news->count++;
}

/* Logs a change of what is done with a request. */
static void log_verdict(const struct crash_shell *shell, uint64_t digest, const char *source,
			uint64_t now_us)
{
	uint64_t refused_us;

	if (crash_judge(&shell->table, digest, now_us, &refused_us) != CRASH_REFUSE)
		return;
	counter_add(COUNTER_CRASH_CONVICTED, 1);
	log_write(LOG_WARNING, LOG_PART_GATE,
		  "A request has ended several backend servers and is refused from now on.",
		  "request_digest=%016" PRIx64 " ends=%d source=%s refused_for_ms=%" PRIu64, digest,
		  CRASH_ENDS_REFUSED, source, (uint64_t)(refused_us / USEC_PER_MSEC));
}

enum crash_verdict crash_shell_judge(struct crash_shell *shell, struct request_parts *parts,
				     uint32_t *retry_ms)
{
	enum crash_verdict verdict;
	uint64_t refused_us = 0;

	if (shell->table.count == 0)
		return CRASH_UNSUSPECTED;
	parts->caller_header = shell->caller_header;
	verdict = crash_judge(&shell->table, request_digest(parts), clock_monotonic_us(),
			      &refused_us);
	*retry_ms = (uint32_t)(refused_us / USEC_PER_MSEC);
	return verdict;
}

void crash_shell_server_ended(struct crash_shell *shell, const uint64_t *digests, uint32_t count)
{
	uint64_t now_us = clock_monotonic_us();
	uint64_t seed[] = {shell->own_id, clock_wall_us(), ++shell->ends};
	uint32_t end_id = (uint32_t)XXH3_64bits(seed, sizeof(seed));
	struct crash_message news = {0};

	crash_record_end(&shell->table, digests, count, end_id, now_us);
	for (uint32_t i = 0; i < count; i++) {
		log_verdict(shell, digests[i], "own-server", now_us);
		add_news(shell, digests[i], &news, now_us);
	}
	send_message(shell, &news, NEWS_FANOUT, now_us);
}

void crash_shell_answered(struct crash_shell *shell, struct request_parts *parts)
{
	uint64_t now_us = clock_monotonic_us();
	struct crash_message news = {0};
	uint64_t digest;

	if (shell->table.count == 0)
		return;
	parts->caller_header = shell->caller_header;
	digest = request_digest(parts);
	if (!crash_record_answer(&shell->table, digest, now_us))
		return;
	log_write(LOG_INFO, LOG_PART_GATE,
		  "A request that ran when a backend server ended was answered.",
		  "request_digest=%016" PRIx64, digest);
	add_news(shell, digest, &news, now_us);
	send_message(shell, &news, NEWS_FANOUT, now_us);
}

void crash_shell_receive(struct crash_shell *shell, const uint8_t *data, size_t size)
{
	uint64_t now_us = clock_monotonic_us();
	struct crash_message message;
	struct crash_message news = {0};
	struct error err;

	if (crash_read(data, size, &message, &err) != 0) {
		counter_add(COUNTER_GOSSIP_BAD_PACKETS, 1);
		log_failure(LOG_DEBUG, LOG_PART_GOSSIP, "A crash message was rejected.", &err);
		return;
	}
	for (uint32_t i = 0; i < message.count; i++) {
		if (!crash_merge(&shell->table, &message.items[i], now_us))
			continue;
		log_verdict(shell, message.items[i].digest, "peer", now_us);
		add_news(shell, message.items[i].digest, &news, now_us);
	}
	send_message(shell, &news, NEWS_FANOUT, now_us);
}

void crash_shell_tick(struct crash_shell *shell, uint64_t now_us)
{
	struct crash_message message;

	counter_set(COUNTER_CRASH_RECORDS, shell->table.count);
	if (shell->table.count == 0 || now_us < shell->told_us + TELL_PERIOD_US)
		return;
	shell->told_us = now_us;
	crash_expire(&shell->table, now_us);
	message.count = crash_tell(&shell->table, message.items, CRASH_MESSAGE_ITEMS_MAX, now_us);
	send_message(shell, &message, 1, now_us);
}

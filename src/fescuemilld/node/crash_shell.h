/*
 * Crash shell: this node's table of requests that ran when backend servers ended, and the messages
 * that tell other nodes of them. News is sent at once to a few random members, each of which passes
 * on what is new to it; while there are records, each node also tells a random member twice a
 * second, so that nodes which missed the news, or have just started, learn it. Without records
 * nothing is hashed and nothing is sent.
 */
#ifndef FESCUEMILLD_NODE_CRASH_SHELL_H
#define FESCUEMILLD_NODE_CRASH_SHELL_H

#include "fescuemill/decide/crash_table.h"
#include "fescuemill/fleet/gossip.h"
#include "fescuemill/http/request_digest.h"

struct crash_shell;

int crash_shell_open(struct crash_shell **out, struct gossip *gossip, uint64_t own_id,
		     const char *caller_header, struct error *err);
void crash_shell_close(struct crash_shell *shell);
/* Judges a request; `parts->caller_header` is filled in. For a request that is refused, returns in
 * `retry_ms` when it may be tried again. */
enum crash_verdict crash_shell_judge(struct crash_shell *shell, struct request_parts *parts,
				     uint32_t *retry_ms);
/* Records that this node's backend server ended while it ran the requests with these digests. */
void crash_shell_server_ended(struct crash_shell *shell, const uint64_t *digests, uint32_t count);
/* Records that this node's backend server has answered a request. */
void crash_shell_answered(struct crash_shell *shell, struct request_parts *parts);
/* Takes a message of another node. */
void crash_shell_receive(struct crash_shell *shell, const uint8_t *data, size_t size);
/* Does what is due, several times a second. */
void crash_shell_tick(struct crash_shell *shell, uint64_t now_us);

#endif

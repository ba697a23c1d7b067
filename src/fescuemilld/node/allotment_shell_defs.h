/*
 * State of the shell of allotments, shared by allotment_shell.c and entry_allotment.c.
 */
#ifndef FESCUEMILLD_NODE_ALLOTMENT_SHELL_DEFS_H
#define FESCUEMILLD_NODE_ALLOTMENT_SHELL_DEFS_H

#include "fescuemill/base/random.h"
#include "fescuemill/decide/allotment_home.h"
#include "fescuemilld/entry/entry_allotment.h"
#include "fescuemilld/node/allotment_shell.h"

#define PACKETS_MAX 64 /* homes that are reported to at once; the rest follows */

struct packet {
	uint64_t home;
	struct allotment_message message;
};

struct allotment_shell {
	struct allotment_shell_options options;
	uv_timer_t timer; /* runs while there is state */
	struct random rng;
	bool is_enabled; /* a customer has a limit */
	struct allotment_entry entry;
	struct allotment_home home;
	uint64_t members_revision;
	uint64_t log_second;
	uint32_t log_lines;   /* in log_second */
	uint64_t log_dropped; /* lines left out since the last one */
	uint32_t held_count;
	h2o_linklist_t held; /* of struct allotment_waiter, the longest waiting first */
	uint32_t packet_count;
	struct packet packets[PACKETS_MAX];
};

/* Opens the tables and starts the timer, unless they are open. Returns false without memory. */
bool allotment_shell_start(struct allotment_shell *shell, uint64_t now_us);
struct allotment_limit allotment_limit_of(const struct customer *customer);
/* Returns true if one more line may be logged in this second. */
bool allotment_may_log(struct allotment_shell *shell, uint64_t now_us);
/* Returns the number of lines left out since the last line. */
uint64_t allotment_take_dropped_lines(struct allotment_shell *shell);
/* Decides about the calls that wait. */
void entry_allotment_release(struct allotment_shell *shell, uint64_t now_us);

#endif

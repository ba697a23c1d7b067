/*
 * Shell of allotments: the timer, the messages and the log lines around decide/allotment_entry.c
 * and decide/allotment_home.c.
 */
#include "fescuemilld/node/allotment_shell.h"
#include "fescuemilld/node/allotment_shell_defs.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS		  10
#define CUSTOMERS_MAX	  8192 /* with state at the entry */
#define ACCOUNTS_MAX	  1024 /* customers whose home this node is */
#define PUSHES_PER_TICK	  16
#define HOME_KEY_BYTES	  17
#define LOG_LINES_PER_S	  20
#define SHARE_AGE_UNKNOWN UINT64_MAX

static void on_timer(uv_timer_t *timer);

/* Opens a shell that is idle until a customer with a limit has a call. */
int allotment_shell_open(struct allotment_shell **out, uv_loop_t *loop,
			 const struct allotment_shell_options *options, struct error *err)
{
	struct allotment_shell *shell = calloc(1, sizeof(*shell));

	if (!shell)
		return error_set(err, ERROR_MEMORY, "no memory for the allotment shell");
	shell->options = *options;
	random_seed(&shell->rng, options->seed);
	h2o_linklist_init_anchor(&shell->held);
	uv_timer_init(loop, &shell->timer);
	shell->timer.data = shell;
	*out = shell;
	return 0;
}

static void on_closed(uv_handle_t *handle)
{
	struct allotment_shell *shell = handle->data;

	allotment_entry_release(&shell->entry);
	allotment_home_release(&shell->home);
	free(shell);
}

void allotment_shell_close(struct allotment_shell *shell)
{
	uv_close((uv_handle_t *)&shell->timer, on_closed);
}

/* Returns true if one more line may be logged in this second. */
bool allotment_may_log(struct allotment_shell *shell, uint64_t now_us)
{
	uint64_t second = now_us / USEC_PER_SEC;

	if (second != shell->log_second) {
		shell->log_second = second;
		shell->log_lines = 0;
	}
	if (shell->log_lines >= LOG_LINES_PER_S) {
		shell->log_dropped++;
		return false;
	}
	shell->log_lines++;
	return true;
}

/* Returns the number of lines left out since the last line. */
uint64_t allotment_take_dropped_lines(struct allotment_shell *shell)
{
	uint64_t dropped = shell->log_dropped;

	shell->log_dropped = 0;
	return dropped;
}

static uint64_t self_id(const struct allotment_shell *shell)
{
	return gossip_self(shell->options.gossip)->identity.node_id;
}

/* Returns true if a member can be the home of customers. One that is suspect may only be slow; one
 * that is leaving hands its customers on before it ends. */
static bool can_be_home(const struct member *member)
{
	return member->state == MEMBER_ALIVE || member->state == MEMBER_SUSPECT;
}

/* Returns the home of a customer: the live member with the highest rank. */
static uint64_t home_of(const struct allotment_shell *shell, uint64_t customer)
{
	uint64_t best = self_id(shell);
	uint64_t most = 0;
	char key[HOME_KEY_BYTES];

	snprintf(key, sizeof(key), "%016" PRIx64, customer);
	for (size_t i = 0; i < member_count(shell->options.members); i++) {
		const struct member *member = member_at(shell->options.members, i);
		uint64_t rank;

		if (!can_be_home(member))
			continue;
		rank = member_rendezvous(member->identity.node_id, key);
		if (rank > most) {
			most = rank;
			best = member->identity.node_id;
		}
	}
	return best;
}

/* Looks up the home again after the members have changed. */
static uint64_t home_of_item(const struct allotment_shell *shell, struct allotment_item *item)
{
	uint64_t revision = member_table_revision(shell->options.members);

	if (!item->home || item->home_revision != revision) {
		item->home = home_of(shell, item->limit.customer);
		item->home_revision = revision;
	}
	return item->home;
}

/* Returns the limit of a customer; both numbers are 0 if it has none. */
struct allotment_limit allotment_limit_of(const struct customer *customer)
{
	return (struct allotment_limit){customer->id, customer->rate_milli, customer->burst};
}

/* Returns the limit of a customer; false if it has none in the configuration in force. */
static bool find_limit(const struct allotment_shell *shell, uint64_t id,
		       struct allotment_limit *limit)
{
	const struct routing *routing = config_routing(shell->options.config);
	const struct customer *customer =
		routing ? customer_find_by_id(&routing->customers, id) : NULL;

	if (!customer || (!customer->rate_milli && !customer->burst))
		return false;
	*limit = allotment_limit_of(customer);
	return true;
}

static bool has_limits(const struct allotment_shell *shell)
{
	const struct routing *routing = config_routing(shell->options.config);

	for (uint32_t i = 0; routing && i < routing->customers.count; i++) {
		if (routing->customers.list[i].rate_milli || routing->customers.list[i].burst)
			return true;
	}
	return false;
}

/* Updates the members among which limits are divided. */
static void update_members(struct allotment_shell *shell, uint64_t now_us)
{
	const struct member_table *members = shell->options.members;
	size_t live = member_count(members) - member_count_state(members, MEMBER_DEAD);

	allotment_members_update(&shell->home.members, (uint32_t)live, now_us);
	shell->entry.members = shell->home.members.known;
}

/* Removes the accounts of customers that have no limit or another home now. */
static void update_accounts(struct allotment_shell *shell, uint64_t now_us)
{
	for (uint32_t i = 0; i < shell->home.map.capacity; i++) {
		struct allotment_account *account = &shell->home.accounts[i];
		struct allotment_limit limit;

		if (!account->in_use)
			continue;
		if (!find_limit(shell, account->limit.customer, &limit) ||
		    home_of(shell, account->limit.customer) != self_id(shell))
			allotment_home_drop(&shell->home, account);
		else
			allotment_home_set_limit(&shell->home, &limit, now_us);
	}
}

/* Applies the configuration and the members. */
void allotment_shell_refresh(struct allotment_shell *shell, uint64_t now_us)
{
	shell->is_enabled = has_limits(shell);
	if (!shell->home.accounts)
		return;
	update_members(shell, now_us);
	update_accounts(shell, now_us);
}

/* Opens the tables and starts the timer, unless they are open. Returns false without memory. */
bool allotment_shell_start(struct allotment_shell *shell, uint64_t now_us)
{
	struct error err;

	if (!shell->entry.items &&
	    allotment_entry_init(&shell->entry, CUSTOMERS_MAX, shell->options.seed, &err) != 0)
		goto failed;
	if (!shell->home.accounts && allotment_home_init(&shell->home, ACCOUNTS_MAX, &err) != 0)
		goto failed;
	if (!uv_is_active((uv_handle_t *)&shell->timer)) {
		update_members(shell, now_us);
		uv_timer_start(&shell->timer, on_timer, TICK_MS, TICK_MS);
	}
	return true;
failed:
	log_failure(LOG_ERROR, LOG_PART_ENTRY, "The state of allotments could not be created.",
		    &err);
	return false;
}

/* Sends a message if the budget allows it. */
static void send_message(struct allotment_shell *shell, uint64_t node_id,
			 const struct allotment_message *message, uint64_t now_us)
{
	uint8_t data[ALLOTMENT_BYTES_MAX];
	size_t size = allotment_write(message, data);

	if (gossip_send_allotment(shell->options.gossip, node_id, data, size, now_us))
		counter_add(COUNTER_ALLOTMENT_SENT, 1);
	else
		counter_add(COUNTER_ALLOTMENT_SKIPPED, 1);
}

/* Logs that this entry begins or ends to refuse a part of a customer's calls. */
static void log_share(struct allotment_shell *shell, const struct allotment_item *item, double old,
		      uint64_t now_us)
{
	bool is_limited = item->share < 1;

	if (is_limited == (old < 1) || !allotment_may_log(shell, now_us))
		return;
	log_write(LOG_INFO, LOG_PART_ENTRY,
		  is_limited ? "A customer has reached its limit."
			     : "A customer is below its limit again.",
		  "customer=%016" PRIx64 " share=%.3f home=%016" PRIx64 " rate_milli=%u "
		  "burst=%u offered=%u admitted=%u lines_left_out=%" PRIu64,
		  item->limit.customer, item->share, item->home, item->limit.rate_milli,
		  item->limit.burst, item->offered, item->admitted,
		  allotment_take_dropped_lines(shell));
}

static void hear(struct allotment_shell *shell, const struct allotment_word *word, uint64_t now_us)
{
	struct allotment_item *item = allotment_entry_find(&shell->entry, word->customer);
	double old;

	if (!item)
		return;
	old = item->share;
	if (allotment_entry_hear(&shell->entry, word, now_us))
		log_share(shell, item, old, now_us);
}

/* Takes the reports of an entry; returns the number of words. */
static uint32_t take_reports(struct allotment_shell *shell, uint64_t node_id,
			     const struct allotment_message *reports, uint64_t now_us,
			     struct allotment_message *words)
{
	words->type = ALLOTMENT_WORDS;
	words->count = 0;
	for (uint32_t i = 0; i < reports->count && words->count < ALLOTMENT_WORDS_MAX; i++) {
		const struct allotment_report *report = &reports->reports[i];
		struct allotment_account *account =
			allotment_home_find(&shell->home, report->customer);
		struct allotment_limit limit;

		/* Without an answer the entry uses its equal part until both nodes know the same
		 * members. */
		if (!find_limit(shell, report->customer, &limit) ||
		    (!account && home_of(shell, report->customer) != self_id(shell)))
			continue;
		if (allotment_home_take_report(&shell->home, &limit, node_id, report, now_us,
					       &words->words[words->count]))
			words->count++;
	}
	return words->count;
}

/* Handles a message: reports to this home, or words to this entry. */
void allotment_shell_receive(struct allotment_shell *shell, uint64_t node_id, const uint8_t *data,
			     size_t size, uint64_t now_us)
{
	struct allotment_message message;
	struct allotment_message words;
	struct error err;

	if (!shell->is_enabled)
		return;
	if (allotment_read(&message, data, size, &err) != 0) {
		counter_add(COUNTER_ALLOTMENT_REJECTED, 1);
		log_failure(LOG_DEBUG, LOG_PART_ENTRY, "An allotment message was rejected.", &err);
		return;
	}
	counter_add(COUNTER_ALLOTMENT_RECEIVED, 1);
	if (!allotment_shell_start(shell, now_us))
		return;
	if (message.type == ALLOTMENT_REPORTS) {
		if (take_reports(shell, node_id, &message, now_us, &words))
			send_message(shell, node_id, &words, now_us);
		return;
	}
	for (uint32_t i = 0; i < message.count; i++)
		hear(shell, &message.words[i], now_us);
}

/* Reports to this node's own home side. */
static void report_to_self(struct allotment_shell *shell, const struct allotment_message *reports,
			   uint64_t now_us)
{
	struct allotment_message words;

	take_reports(shell, self_id(shell), reports, now_us, &words);
	for (uint32_t i = 0; i < words.count; i++)
		hear(shell, &words.words[i], now_us);
}

/* Returns the packet for a home with room for a report, or NULL if no packet is left. */
static struct packet *packet_for(struct allotment_shell *shell, uint64_t home)
{
	struct packet *packet;

	for (uint32_t i = 0; i < shell->packet_count; i++) {
		packet = &shell->packets[i];
		if (packet->home == home && packet->message.count < ALLOTMENT_WORDS_MAX)
			return packet;
	}
	if (shell->packet_count == PACKETS_MAX)
		return NULL;
	packet = &shell->packets[shell->packet_count++];
	packet->home = home;
	packet->message.type = ALLOTMENT_REPORTS;
	packet->message.count = 0;
	return packet;
}

/* Sends the reports that are due, those for one home in one packet. */
static void send_reports(struct allotment_shell *shell, uint64_t now_us)
{
	struct allotment_item *item;
	uint32_t cursor = 0;

	shell->packet_count = 0;
	while ((item = allotment_entry_next_due(&shell->entry, &cursor, now_us)) != NULL) {
		struct packet *packet = packet_for(shell, home_of_item(shell, item));

		if (!packet) {
			shell->entry.due_us = now_us; /* the rest follows at the next tick */
			break;
		}
		allotment_entry_report(item, &packet->message.reports[packet->message.count++],
				       now_us);
	}
	for (uint32_t i = 0; i < shell->packet_count; i++) {
		struct packet *packet = &shell->packets[i];

		if (packet->home == self_id(shell))
			report_to_self(shell, &packet->message, now_us);
		else
			send_message(shell, packet->home, &packet->message, now_us);
	}
}

/* Tells entries a share that has changed. */
static void send_pushes(struct allotment_shell *shell, uint64_t now_us)
{
	struct allotment_message message = {.type = ALLOTMENT_WORDS, .count = 1};
	uint32_t left = PUSHES_PER_TICK;
	uint64_t node_id;

	for (uint32_t i = 0; i < shell->home.map.capacity && left; i++) {
		struct allotment_account *account = &shell->home.accounts[i];

		while (account->in_use && left &&
		       allotment_home_next_push(&shell->home, account, now_us, &node_id,
						&message.words[0])) {
			left--;
			if (node_id == self_id(shell))
				hear(shell, &message.words[0], now_us);
			else
				send_message(shell, node_id, &message, now_us);
		}
	}
}

/* Sets the gauges of customers by state. */
static void update_counters(const struct allotment_shell *shell)
{
	uint32_t limited = 0;
	uint32_t lapsed = 0;

	for (uint32_t i = 0; i < shell->entry.map.capacity; i++) {
		const struct allotment_item *item = &shell->entry.items[i];

		limited += item->in_use && item->share < 1;
		lapsed += item->in_use && item->basis == ALLOTMENT_EQUAL;
	}
	counter_set(COUNTER_ALLOTMENT_CUSTOMERS, shell->entry.map.count);
	counter_set(COUNTER_ALLOTMENT_HOMED, shell->home.map.count);
	counter_set(COUNTER_ALLOTMENT_LIMITED, limited);
	counter_set(COUNTER_ALLOTMENT_LAPSED, lapsed);
}

/* Runs the periodic work; stops the timer when no customer has state. */
static void on_timer(uv_timer_t *timer)
{
	struct allotment_shell *shell = timer->data;
	uint64_t now_us = clock_monotonic_us();
	uint64_t swept_us = shell->entry.swept_us;

	send_reports(shell, now_us);
	send_pushes(shell, now_us);
	entry_allotment_release(shell, now_us);
	allotment_home_tick(&shell->home, now_us);
	allotment_entry_sweep(&shell->entry, now_us);
	if (swept_us == shell->entry.swept_us)
		return;
	update_members(shell, now_us);
	if (shell->members_revision != member_table_revision(shell->options.members)) {
		shell->members_revision = member_table_revision(shell->options.members);
		update_accounts(shell, now_us);
	}
	update_counters(shell);
	if (!shell->entry.map.count && !shell->home.map.count)
		uv_timer_stop(timer);
}

/* Fills in what this node knows of a customer. */
bool allotment_shell_view(struct allotment_shell *shell, const struct customer *customer,
			  uint64_t now_us, struct allotment_view *view)
{
	struct allotment_item *item = allotment_entry_find(&shell->entry, customer->id);
	struct allotment_account *account = allotment_home_find(&shell->home, customer->id);

	if (!customer->rate_milli && !customer->burst)
		return false;
	memset(view, 0, sizeof(*view));
	view->rate_milli = customer->rate_milli;
	view->burst = customer->burst;
	view->home = item ? home_of_item(shell, item) : home_of(shell, customer->id);
	view->is_home = view->home == self_id(shell);
	view->share = 1;
	view->share_age_us = SHARE_AGE_UNKNOWN;
	view->basis = ALLOTMENT_BLIND;
	if (item) {
		view->basis = item->basis;
		view->share = item->share;
		view->share_age_us = item->word_us ? now_us - item->word_us : SHARE_AGE_UNKNOWN;
		view->offered = item->offered;
		view->admitted = item->admitted;
		view->given_back = item->given_back;
		view->refused = item->refused;
	}
	if (account) {
		view->fleet_demand = account->demand;
		view->level = account->level;
		view->entries = account->reporter_count;
	}
	return true;
}

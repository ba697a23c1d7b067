/*
 * The counters of a node: symbol, exposed name without its prefix, unit and help text. A gauge is
 * set to its current value, any other counter only increases. docs/COUNTERS.md lists them all; a
 * test checks that the page matches this list.
 */
#ifndef FESCUEMILL_BASE_COUNTER_DEFS_H
#define FESCUEMILL_BASE_COUNTER_DEFS_H

#define COUNTER_LIST(X)                                                                            \
	X(CALLS_RECEIVED, "entry_calls_received", "calls", "calls taken from callers")             \
	X(CALLS_ANSWERED, "entry_calls_answered", "calls", "calls answered whole")                 \
	X(CALLS_NOT_RUN, "entry_calls_not_run", "calls", "calls told not run")                     \
	X(CALLS_UNKNOWN, "entry_calls_unknown", "calls", "calls told unknown")                     \
	X(CALLS_ABANDONED_UNREAD, "entry_calls_abandoned_unread", "calls",                         \
	  "calls whose caller left before they were read")                                         \
	X(CLIENTS_OPEN, "clients_open", "connections", "open connections of HTTP clients")         \
	X(CLIENTS_CLOSED, "clients_closed", "connections",                                         \
	  "connections closed after their idle time or without progress of their answer")          \
	X(CLIENTS_TIMED_OUT, "clients_timed_out", "requests",                                      \
	  "requests refused because their head or body came too slowly")                           \
	X(CLIENTS_LARGE_HEADS, "clients_large_heads", "requests",                                  \
	  "requests refused because their head is larger than allowed")                            \
	X(CLIENTS_HELD, "clients_held", "bytes",                                                   \
	  "memory held for the connections of HTTP clients")                                       \
	X(CLIENTS_ENDED_FOR_MEMORY, "clients_ended_for_memory", "connections",                     \
	  "connections refused or closed because memory ran short")                                \
	X(CLIENTS_ENDED_FOR_DESCRIPTORS, "clients_ended_for_descriptors", "connections",           \
	  "connections closed because descriptors ran short")                                      \
	X(RETRIES_SENT, "entry_retries", "attempts", "attempts after the first of a call")         \
	X(REASKS_SENT, "entry_reasks", "messages", "attempts asked again on a new connection")     \
	X(LATE_ANSWERS, "entry_late_answers", "messages", "answers that no call waits for")        \
	X(GATE_ADMITTED, "gate_admitted", "attempts", "attempts given a slot")                     \
	X(GATE_REFUSED, "gate_refused", "attempts", "attempts refused unrun")                      \
	X(GATE_IN_PROFILE, "gate_in_profile", "attempts",                                          \
	  "attempts offered within the gate's rate")                                               \
	X(GATE_OUT_OF_PROFILE, "gate_out_of_profile", "attempts",                                  \
	  "attempts offered beyond the gate's rate")                                               \
	X(GATE_RATE, "gate_rate", "calls/1000s", "the gate's part of its classes' calls_per_s")    \
	X(GATE_RATE_LIMIT, "gate_rate_limit", "calls/1000s",                                       \
	  "limit that the backend server states on its calls; 0: none, or none taken")             \
	X(GATE_COLD, "gate_cold", "flag", "1 while calls are limited as the server is cold")       \
	X(GATE_COLD_STARTED, "gate_cold_started", "attempts",                                      \
	  "attempts started on the backend server while it counted as cold")                       \
	X(GATE_REFUSED_COLD, "gate_refused_cold", "attempts",                                      \
	  "attempts refused as the backend server is cold")                                        \
	X(GATE_CANCELLED, "gate_cancelled", "attempts", "attempts cancelled")                      \
	X(GATE_DUPLICATES, "gate_duplicates", "messages", "repeats of a known attempt")            \
	X(GATE_MISPLACED, "gate_misplaced", "attempts",                                            \
	  "attempts refused because they may not run in the gate's region or failure domain")      \
	X(GATE_STALE_EPOCH, "gate_stale_epoch", "messages", "messages of an older epoch")          \
	X(GATE_WRONG_INCARNATION, "gate_wrong_incarnation", "messages",                            \
	  "messages meant for an earlier incarnation")                                             \
	X(BACKEND_CONNECTIONS, "backend_connections", "connections",                               \
	  "connections opened to the backend server")                                              \
	X(BACKEND_ENDS, "backend_ends", "times", "the backend server ended while it ran calls")    \
	X(BACKEND_CUT_RUNS, "backend_cut_runs", "attempts",                                        \
	  "attempts that ran on the backend server when it ended")                                 \
	X(CRASH_RECORDS, "crash_records", "requests",                                              \
	  "requests that are known to have run when backend servers ended")                        \
	X(CRASH_CONVICTED, "crash_convicted", "requests",                                          \
	  "requests that this node found, or was told, to be refused")                             \
	X(CRASH_REFUSED, "crash_refused", "calls",                                                 \
	  "calls and attempts refused because backend servers end when they run them")             \
	X(CRASH_APART, "crash_apart", "attempts",                                                  \
	  "attempts refused because another request that may end the server runs there")           \
	X(CRASH_SPENT, "crash_spent", "bytes",                                                     \
	  "part of control_spent that tells of requests that ran when servers ended")              \
	X(BACKEND_PROBES, "backend_probes", "probes",                                              \
	  "questions for the backend server's load and pace")                                      \
	X(LOG_LINES_DROPPED, "log_lines_dropped", "lines", "log lines that could not be written")  \
	X(WIRE_BAD_MESSAGES, "wire_bad_messages", "messages", "node messages that do not decode")  \
	X(WIRE_CONNECTIONS_SILENT, "wire_connections_silent", "connections",                       \
	  "node connections replaced after silence")                                               \
	X(WIRE_CONNECTIONS_LOST, "wire_connections_lost", "connections",                           \
	  "node connections that were reset or closed by the other end")                           \
	X(GOSSIP_BAD_PACKETS, "gossip_bad_packets", "packets", "gossip that does not decode")      \
	X(CONFIG_REJECTED, "config_objects_rejected", "objects",                                   \
	  "platform objects that do not parse")                                                    \
	X(CONFIG_APPLIED, "config_changes_applied", "changes", "changes of services put in force") \
	X(CONFIG_VERSION, "config_version", "version", "version through which all is known")       \
	X(CONFIG_OLDER, "config_objects_older", "objects",                                         \
	  "objects ignored because a later version was delivered before")                          \
	X(CONFIG_KEPT, "config_objects_kept", "objects",                                           \
	  "objects kept in force because a restored store has an earlier state of them")           \
	X(CONFIG_PULLS, "config_pulls", "requests", "requests to peers for configuration")         \
	X(CONFIG_PULLS_UNANSWERED, "config_pulls_unanswered", "requests",                          \
	  "requests to peers for configuration that ended without an answer")                      \
	X(CONFIG_RECEIVED, "config_received", "bytes", "configuration received from peers")        \
	X(CONFIG_SENT, "config_sent", "bytes", "configuration sent to peers")                      \
	X(EVACUATIONS, "evacuations", "domains", "failure domains that are being evacuated")       \
	X(EVACUATIONS_REJECTED, "evacuations_rejected", "objects",                                 \
	  "objects and messages that are no order to evacuate a failure domain")                   \
	X(CONFIG_READY, "config_ready", "flag", "1 when the accepted configuration is known")      \
	X(KEY_PROOF_AGE, "key_proof_age", "ms",                                                    \
	  "since a question to the store that shows the customers' keys here current")             \
	X(KEY_PROOF_LOST, "key_proof_lost", "times", "the proof for the keys ran out")             \
	X(KEY_PROOF_READS, "key_proof_reads", "calls", "calls of the store for the proof")         \
	X(CALLS_UNKNOWN_KEY, "entry_calls_unknown_key", "calls",                                   \
	  "calls refused for a key that is missing or unknown")                                    \
	X(CALLS_KEYS_STALE, "entry_calls_keys_stale", "calls",                                     \
	  "calls refused because the keys are not proven current")                                 \
	X(PLATFORM_CALLS, "platform_calls", "calls", "calls sent to the platform")                 \
	X(PLATFORM_FAILURES, "platform_calls_failed", "calls", "platform calls that failed")       \
	X(PLATFORM_WATCHES_SILENT, "platform_watches_silent", "calls",                             \
	  "watches replaced after silence")                                                        \
	X(PLATFORM_RESTORES, "platform_restores", "times",                                         \
	  "the store was found restored from a copy")                                              \
	X(PLATFORM_BUDGET_WAITS, "platform_budget_waits", "waits",                                 \
	  "platform calls put off by the budget of calls or of bytes")                             \
	X(PLATFORM_SENT, "platform_sent", "bytes",                                                 \
	  "requests to the platform, headers and connections included")                            \
	X(PLATFORM_RECEIVED, "platform_received", "bytes",                                         \
	  "answers of the platform, headers included")                                             \
	X(ROSTER_WRITES, "roster_writes", "writes", "accepted writes of the roster")               \
	X(ROSTER_CONFLICTS, "roster_conflicts", "writes", "roster writes lost to another writer")  \
	X(ROSTER_REJECTED, "roster_objects_rejected", "objects", "rosters that do not parse")      \
	X(ADMIN_REQUESTS, "admin_requests", "requests", "requests to the administration API")      \
	X(ADMIN_REFUSED, "admin_requests_refused", "requests",                                     \
	  "administration requests answered with an error")                                        \
	X(CONTROL_SPENT, "control_spent", "bytes", "measuring and control, sent and received")     \
	X(CONTROL_REFUSED, "control_refused", "bytes", "measuring that waited for its budget")     \
	X(CONTROL_ALLOWED, "control_allowed", "bytes/s", "budget of this node for measuring")      \
	X(LINK_SPENT, "link_spent", "bytes", "measuring over links to other regions")              \
	X(LINK_REFUSED, "link_refused", "bytes", "measuring that waited for the link's budget")    \
	X(LINK_ALLOWED, "link_allowed", "bytes/s", "this node's share of the link's budget")       \
	X(DEMAND_SPENT, "demand_spent", "bytes",                                                   \
	  "part of control_spent that tells gates' demands")                                       \
	X(DEMAND_SENT, "demand_sent", "messages", "demand messages sent to other gates")           \
	X(DEMAND_RECEIVED, "demand_received", "messages", "demand messages of other gates taken")  \
	X(DEMAND_REFUSED, "demand_refused", "messages",                                            \
	  "demand messages that do not fit this gate's classes")                                   \
	X(DEMAND_SKIPPED, "demand_skipped", "messages", "demand messages left out by the budget")  \
	X(DEMAND_REPORTED, "demand_reported", "gates",                                             \
	  "gates whose demand is known, this one too")                                             \
	X(ALLOTMENT_ADMITTED, "allotment_admitted", "calls",                                       \
	  "calls of customers with a limit that the entry let through")                            \
	X(ALLOTMENT_REFUSED, "allotment_refused", "calls",                                         \
	  "calls that the entry refused because of their customer's limit")                        \
	X(ALLOTMENT_GIVEN_BACK, "allotment_given_back", "calls",                                   \
	  "calls let through that then were not run")                                              \
	X(ALLOTMENT_CUSTOMERS, "allotment_customers", "customers",                                 \
	  "customers with a limit whose calls the entry counts")                                   \
	X(ALLOTMENT_LIMITED, "allotment_limited", "customers",                                     \
	  "customers of which the entry refuses a part of the calls")                              \
	X(ALLOTMENT_LAPSED, "allotment_lapsed", "customers",                                       \
	  "customers whose home does not answer, admitted by an equal part")                       \
	X(ALLOTMENT_HOMED, "allotment_homed", "customers",                                         \
	  "customers whose use this node counts for all entries")                                  \
	X(ALLOTMENT_SENT, "allotment_sent", "messages", "allotment messages sent")                 \
	X(ALLOTMENT_RECEIVED, "allotment_received", "messages", "allotment messages taken")        \
	X(ALLOTMENT_REJECTED, "allotment_rejected", "messages",                                    \
	  "allotment messages that do not decode")                                                 \
	X(ALLOTMENT_SKIPPED, "allotment_skipped", "messages",                                      \
	  "allotment messages left out by the budget")                                             \
	X(ALLOTMENT_SPENT, "allotment_spent", "bytes",                                             \
	  "part of control_spent for the use and shares of customers")                             \
	X(MEMBERS_ALIVE, "members_alive", "members", "live members that this node knows")

enum counter {
#define COUNTER_ENUM(symbol, name, unit, help) COUNTER_##symbol,
	COUNTER_LIST(COUNTER_ENUM)
#undef COUNTER_ENUM
	COUNTER_COUNT,
};

#endif

/*
 * Crash table: requests that ran when backend servers ended, by their digests, as this node knows
 * them from its own gate and from other nodes. A request that ran at CRASH_ENDS_REFUSED ends of
 * servers and was never answered in between is refused for a while. No I/O.
 *
 * Beside the request that ends a server others run there. What tells them apart: they are answered
 * elsewhere, and any answer clears a request everywhere. From CRASH_ENDS_APART ends on, a gate runs
 * only one such request at a time, so that the next end points to one.
 *
 * The ends of a request are a set of ids, which nodes merge in any order. A later generation
 * replaces an earlier one: an answer closes a generation, the next end opens another.
 */
#ifndef FESCUEMILL_DECIDE_CRASH_TABLE_H
#define FESCUEMILL_DECIDE_CRASH_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#define CRASH_RECORDS_MAX  128
#define CRASH_ENDS_APART   2
#define CRASH_ENDS_REFUSED 3

/* A request with fewer ends is forgotten after this time, as is an answered one. */
#define CRASH_SUSPECT_US (60ULL * 1000 * 1000)
/* For how long a request is refused after its latest end. Then it may run once more, and each
 * further end doubles the time. If others ran at the same three ends, only one is the cause, and
 * all are let run again soon. */
#define CRASH_REFUSED_US	(300ULL * 1000 * 1000)
#define CRASH_REFUSED_US_MAX	(3600ULL * 1000 * 1000)
#define CRASH_REFUSED_SHARED_US (10ULL * 1000 * 1000)

enum crash_verdict {
	CRASH_UNSUSPECTED,
	CRASH_RUN_APART, /* not beside another request with this verdict */
	CRASH_REFUSE,
};

/* What is known of one request, as nodes tell each other. */
struct crash_item {
	uint64_t digest;
	uint8_t generation;
	bool is_answered; /* no end of this generation counts any more */
	bool is_sole;	  /* no other request with enough ends ran at one of its ends */
	uint8_t relapses; /* ends after the request had been let run again */
	uint8_t end_count;
	uint32_t ends[CRASH_ENDS_REFUSED]; /* ids of ends of servers, in ascending order */
	uint32_t age_ms;		   /* since the latest change */
};

struct crash_record {
	struct crash_item item; /* its age_ms is not kept */
	uint64_t changed_us;
};

struct crash_table {
	uint32_t count;
	uint32_t next_told; /* record at which the next message starts */
	struct crash_record records[CRASH_RECORDS_MAX];
};

/* Returns what to do with a request, and in `refused_us` for how much longer it is refused. */
enum crash_verdict crash_judge(const struct crash_table *table, uint64_t digest, uint64_t now_us,
			       uint64_t *refused_us);
/* Records that a server ended while it ran the requests with these digests. The id names the end.
 */
void crash_record_end(struct crash_table *table, const uint64_t *digests, uint32_t count,
		      uint32_t end_id, uint64_t now_us);
/* Records a complete answer to a request. Returns true if that is news. */
bool crash_record_answer(struct crash_table *table, uint64_t digest, uint64_t now_us);
/* Takes what another node told. Returns true if it is news. */
bool crash_merge(struct crash_table *table, const struct crash_item *item, uint64_t now_us);
/* Fills in what is known of a request, to tell another node. Returns false if there is no record.
 */
bool crash_find(const struct crash_table *table, uint64_t digest, struct crash_item *out,
		uint64_t now_us);
/* Fills in up to `room` records to tell another node and returns their number; the next call goes
 * on with the others. */
uint32_t crash_tell(struct crash_table *table, struct crash_item *out, uint32_t room,
		    uint64_t now_us);
/* Forgets what is out of date. */
void crash_expire(struct crash_table *table, uint64_t now_us);

#endif

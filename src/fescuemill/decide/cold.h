/*
 * Cold: whether the backend server is cold, and how many calls may be started on it while it is. A
 * server is cold after its start, and at any time that it says so; it then bears only a part of its
 * usual calls and may crash under more. No I/O and no clock of its own.
 */
#ifndef FESCUEMILL_DECIDE_COLD_H
#define FESCUEMILL_DECIDE_COLD_H

#include <stdbool.h>
#include <stdint.h>

/* Size of the bucket, as time at the cold rate, and at least one call. With the rate itself, at
 * most one and a half times the rate starts in any second. */
#define COLD_BURST_US 500000

/* The calls started on the warm server in one to two of these periods are a debt: the server may
 * have become cold since, and a gate under load learns of it within about 25 ms (it asks every 20
 * ms). */
#define COLD_RECENT_US 25000

/* The highest debt, as time at the cold rate: a longer pause does not lower the calls of any second
 * that holds those that made the debt. */
#define COLD_DEBT_US 1000000

/* Debt of a gate that has just started, as time at the cold rate: an earlier process of it may have
 * used the bucket just before. */
#define COLD_START_DEBT_US 250000

/* How long a server counts as cold after its start if the configuration does not say. */
#define COLD_START_DEFAULT_MS 30000

/* How long a server counts as cold after a health check has failed that worked before, unless it
 * says otherwise: it may have been started again and not have said so yet. */
#define COLD_DOUBT_US 1000000

enum cold_source {
	COLD_SOURCE_ASSUMED, /* nothing was heard since the start of the server or of this gate */
	COLD_SOURCE_DOUBT,   /* a health check failed that worked before */
	COLD_SOURCE_HEARTBEAT,
	COLD_SOURCE_PROBE,
	COLD_SOURCE_COUNT,
};

/* What a heartbeat says of its server. */
struct cold_heartbeat {
	uint64_t instance;   /* hash of the name of the instance; 0: not stated */
	uint64_t started_ms; /* when it started, by its clock; 0: not stated */
	uint64_t sequence;   /* rises with each heartbeat of an instance; 0: not stated */
	bool has_left;	     /* left_ms is stated */
	uint32_t left_ms;    /* how long it remains cold; 0: it is warm */
};

struct cold {
	uint32_t rate_milli; /* calls per 1000 s that a cold server bears; 0: no limit */
	uint32_t start_ms;   /* how long it is cold after its start; 0: unknown */
	uint64_t until_us[COLD_SOURCE_COUNT];  /* until when a source holds it cold; 0: warm */
	uint64_t stated_us[COLD_SOURCE_COUNT]; /* when the source said so last; 0: never */
	bool is_assumed; /* cold for start_ms from stated_us[COLD_SOURCE_ASSUMED] */
	bool has_probed; /* the latest health check was answered, or there was none yet */
	struct cold_heartbeat latest;
	int64_t tokens_nano; /* calls that may start, in billionths; negative: a debt */
	uint64_t refill_us;  /* time of the last refill */
	uint64_t recent_us;  /* when the current period of COLD_RECENT_US began */
	uint32_t recent[2];  /* calls started in the current and in the previous period */
	uint64_t started;    /* calls started while the server counted as cold */
};

/* What the gate holds true of its server. */
struct cold_belief {
	bool is_cold;
	enum cold_source
		source;	  /* the one that holds it cold for longest, or that was last heard */
	uint64_t left_us; /* until it counts as warm; 0 if it does */
	uint64_t age_us;  /* of what the source said */
};

void cold_init(struct cold *cold, uint64_t now_us);
void cold_configure(struct cold *cold, uint32_t rate_milli, uint32_t start_ms, uint64_t now_us);
void cold_assume(struct cold *cold, uint64_t now_us);
void cold_server_back(struct cold *cold, uint64_t now_us);
void cold_hear_heartbeat(struct cold *cold, const struct cold_heartbeat *heartbeat,
			 uint64_t now_us);
void cold_hear_probe(struct cold *cold, uint32_t left_ms, uint64_t sent_us, uint64_t now_us);
void cold_probe_failed(struct cold *cold, uint64_t now_us);
bool cold_is_limiting(const struct cold *cold, uint64_t now_us);
bool cold_allows(const struct cold *cold, uint64_t now_us);
void cold_take(struct cold *cold, uint64_t now_us);
uint64_t cold_wait_us(const struct cold *cold, uint32_t ahead, uint64_t now_us);
uint32_t cold_room(const struct cold *cold, uint64_t now_us);
struct cold_belief cold_belief(const struct cold *cold, uint64_t now_us);
const char *cold_source_name(enum cold_source source);

#endif

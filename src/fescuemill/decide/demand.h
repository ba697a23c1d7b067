/*
 * Demand: what a gate knows of the calls offered to the gates of its service, so that each can work
 * out its part of a fleet-wide amount. Every gate has one row; rows are passed on through peers.
 */
#ifndef FESCUEMILL_DECIDE_DEMAND_H
#define FESCUEMILL_DECIDE_DEMAND_H

#include "fescuemill/base/clock.h"
#include "fescuemill/base/error.h"
#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/share.h"

#include <stddef.h>

#define DEMAND_PERIOD_US   USEC_PER_SEC	       /* between two counts of a gate */
#define DEMAND_ROW_US	   (25 * USEC_PER_SEC) /* a row older than this counts no more */
#define DEMAND_COUNTS	   (DEMAND_ROW_US / DEMAND_PERIOD_US + 2) /* own ones that are kept */
#define DEMAND_PEERS_MAX   (SHARE_GATES_MAX - 1)		  /* rows of other gates */
#define DEMAND_BYTES_MAX   1100					  /* of a message */
#define DEMAND_LEVELS	   256
#define DEMAND_LEAST_MILLI 100 /* level 1, in thousandths of a call a second */

/* The demand that one gate reported. */
struct demand_row {
	uint32_t tag;	   /* of the gate's process life */
	uint16_t sequence; /* of the gate's count; wraps */
	bool is_known;	   /* something was reported since the row was made */
	bool asker_has_it; /* the asker of the question that was read last sent this report */
	uint64_t heard_us;
	uint64_t age_us; /* when it was heard */
	uint8_t levels[CLASSES_PER_SERVICE_MAX];
};

struct demand_table {
	uint64_t layout; /* names the classes and their order */
	uint32_t class_count;
	uint32_t peers; /* other ready gates, those without a row included */
	uint32_t row_count;
	uint64_t counted_us;
	uint64_t offered[CLASSES_PER_SERVICE_MAX]; /* as last counted */
	uint64_t mean_milli[CLASSES_PER_SERVICE_MAX];
	uint32_t counts; /* of the own calls so far */
	struct demand_row own;
	uint8_t own_levels[DEMAND_COUNTS][CLASSES_PER_SERVICE_MAX]; /* by number of count */
	struct demand_row rows[DEMAND_PEERS_MAX];
};

enum demand_message {
	DEMAND_QUESTION = 1, /* answer with what I do not have */
	DEMAND_ANSWER,
};

uint8_t demand_level_of(uint64_t milli);
uint64_t demand_milli_of(uint8_t level);
uint64_t demand_layout_of(const struct service_config *config);

void demand_init(struct demand_table *table, const struct node_incarnation *self, uint64_t now_us);
/* Forgets every demand if the classes or their order are others than before. */
void demand_set_classes(struct demand_table *table, uint64_t layout, uint32_t class_count,
			uint64_t now_us);
/* Keeps the rows of these gates; the rows of all others are forgotten. Count may be more than
 * DEMAND_PEERS_MAX; only so many are read. */
void demand_set_peers(struct demand_table *table, const struct node_incarnation *peers,
		      uint32_t count);
/* Makes a new report of this gate from the calls offered to each class since the class began. */
void demand_count(struct demand_table *table, const uint64_t offered[CLASSES_PER_SERVICE_MAX],
		  uint64_t now_us);
bool demand_is_idle(const struct demand_table *table, uint64_t now_us);
uint32_t demand_reported(const struct demand_table *table, uint64_t now_us);
/* Sums the demands of a class. A rise of the own one counts apart until most reports are of later:
 * when the demand rises at all gates at once, each would take the parts of the others before it
 * hears of their rise. */
void demand_sum(const struct demand_table *table, uint32_t class_index, uint64_t now_us,
		struct share_demand *sum);

/* Writes at most DEMAND_BYTES_MAX; an answer of 0 bytes has nothing to say. */
size_t demand_write(const struct demand_table *table, enum demand_message type, uint32_t start,
		    uint64_t now_us, uint8_t *data);
/* Errors: ERROR_TRUNCATED, ERROR_TYPE, ERROR_RANGE, ERROR_VERSION (other classes). */
int demand_read(struct demand_table *table, const uint8_t *data, size_t size, uint64_t now_us,
		enum demand_message *type, struct error *err);

#endif

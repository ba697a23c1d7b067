/*
 * Gate: admission control for one backend server. Decides which attempts start, wait or are
 * refused.
 */
#ifndef FESCUEMILL_DECIDE_GATE_H
#define FESCUEMILL_DECIDE_GATE_H

#include "fescuemill/decide/gate_defs.h"

void gate_init(struct gate *gate, uint64_t now_us);
void gate_set_config(struct gate *gate, const struct service_config *config, uint64_t now_us,
		     struct gate_actions *actions);
void gate_set_end(struct gate *gate, uint64_t end_us);
/* Holds the calls that start to the rate that the backend server states, in calls per 1000 s. */
void gate_set_rate_limit(struct gate *gate, uint32_t rate_milli, uint64_t now_us);
/* Removes that limit, and starts what waited for it. */
void gate_clear_rate_limit(struct gate *gate, uint64_t now_us, struct gate_actions *actions);
void gate_set_rates(struct gate *gate, const uint64_t rates_milli[CLASSES_PER_SERVICE_MAX],
		    uint64_t now_us);
void gate_set_backend(struct gate *gate, enum backend_state state, uint32_t slots, uint64_t now_us,
		      struct gate_actions *actions);
int gate_find_class(const struct gate *gate, const char *name);
int gate_find_nearest_class(const struct gate *gate, const char *name);
struct gate_verdict gate_offer(struct gate *gate, struct gate_ticket *ticket, uint32_t class_index,
			       uint64_t deadline_us, uint64_t now_us, struct gate_actions *actions);
void gate_finish(struct gate *gate, struct gate_ticket *ticket, enum gate_result result,
		 uint64_t now_us, struct gate_actions *actions);
void gate_cancel(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
		 struct gate_actions *actions);
void gate_tick(struct gate *gate, uint64_t now_us, struct gate_actions *actions);
void gate_record_slowdown(struct gate *gate, uint32_t percent, uint64_t now_us,
			  struct gate_actions *actions);
void gate_slowdown_unknown(struct gate *gate, uint64_t now_us, struct gate_actions *actions);
bool gate_start_slowdown_probe(struct gate *gate, uint64_t now_us);
void gate_get_load(const struct gate *gate, struct gate_load *load);

#endif

/*
 * Selection of a gate among the members of one service, made by one entry. No I/O: members,
 * results, the time and the random state are arguments.
 */
#ifndef FESCUEMILL_DECIDE_CHOICE_H
#define FESCUEMILL_DECIDE_CHOICE_H

#include "fescuemill/base/error.h"
#include "fescuemill/base/random.h"
#include "fescuemill/decide/choice_defs.h"

void choice_default_settings(struct choice_settings *settings);
int choice_create(struct choice **out, const struct choice_settings *settings, struct error *err);
void choice_destroy(struct choice *choice);
int choice_set_members(struct choice *choice, const struct choice_member *members, uint32_t count,
		       struct error *err);
bool choice_pick(struct choice *choice, const struct choice_query *query, struct random *rng,
		 uint64_t now_us, struct choice_selection *picked);
enum call_reason choice_placement_reason(const struct choice *choice,
					 const struct region_set *regions, uint64_t now_us);
void choice_record_sent(struct choice *choice, uint64_t node_id, uint64_t now_us);
void choice_record_result(struct choice *choice, uint64_t node_id,
			  const struct choice_result *result, uint64_t now_us);
void choice_update_load(struct choice *choice, uint64_t node_id, const struct gate_load *load,
			uint64_t now_us);
uint32_t choice_gate_count(const struct choice *choice);
uint64_t choice_bytes(const struct choice *choice);

#endif

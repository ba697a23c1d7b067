/*
 * Plan: parsing and validation of the plan of a load run.
 */
#ifndef FESCUE_LOAD_PLAN_H
#define FESCUE_LOAD_PLAN_H

#include "fescue_load/plan_defs.h"
#include "fescuemill/base/error.h"

void plan_init(struct plan *plan);
void plan_stream_init(struct plan_stream *stream);
int plan_load(struct plan *plan, const char *file, struct error *err);
int plan_parse(struct plan *plan, const char *json, struct error *err);
int plan_add_entry(struct plan *plan, const char *address, struct error *err);
int plan_add_backend(struct plan *plan, const char *service, const char *address,
		     struct error *err);
int plan_add_stream(struct plan *plan, const struct plan_stream *stream, struct error *err);
int plan_check(const struct plan *plan, struct error *err);
bool plan_stream_is_idempotent(const struct plan_stream *stream);

#endif

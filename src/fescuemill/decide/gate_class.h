/*
 * Classes of a gate: the table of classes and lookup by name.
 */
#ifndef FESCUEMILL_DECIDE_GATE_CLASS_H
#define FESCUEMILL_DECIDE_GATE_CLASS_H

#include "fescuemill/decide/gate_defs.h"

const struct class_target *gate_class_target(const struct service_config *config, const char *name);
void gate_class_add(struct gate *gate, const struct class_target *target, uint64_t now_us);

#endif

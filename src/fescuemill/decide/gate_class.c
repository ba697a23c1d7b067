/*
 * Classes of a gate: the table of classes and lookup by name.
 */
#include "fescuemill/decide/gate_class.h"

#include "fescuemill/decide/gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns the class of that name in a configuration, or NULL. */
const struct class_target *gate_class_target(const struct service_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->class_count; i++) {
		if (strncmp(config->classes[i].name, name, CLASS_NAME_BYTES) == 0)
			return &config->classes[i];
	}
	return NULL;
}

/* Adds a class to the first free entry of the table. */
void gate_class_add(struct gate *gate, const struct class_target *target, uint64_t now_us)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->active)
			continue;
		class->active = true;
		class->target = *target;
		class->profile.refill_us = now_us;
		return;
	}
}

/* Returns the index of the class of that name, as passed to gate_offer, or -1 if there is none. */
int gate_find_class(const struct gate *gate, const char *name)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (class->active && strncmp(class->target.name, name, CLASS_NAME_BYTES) == 0)
			return (int)i;
	}
	return -1;
}

/*
 * Returns the index of the class whose rank is nearest to that of an unknown class, or -1 if there
 * is none. The rank is part of the class names that are made from routes ("rankN-..."). An entry
 * may name a class that this gate does not know, as nodes do not change their routes at the same
 * moment.
 */
int gate_find_nearest_class(const struct gate *gate, const char *name)
{
	unsigned int wanted = 0;
	int nearest = -1;

	if (sscanf(name, "rank%u-", &wanted) != 1)
		return -1;
	for (int i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (!class->active)
			continue;
		if (nearest < 0 ||
		    abs((int)class->target.rank - (int)wanted) <
			    abs((int)gate->classes[nearest].target.rank - (int)wanted))
			nearest = i;
	}
	return nearest;
}

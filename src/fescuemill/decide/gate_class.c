/*
 * Classes of a gate: their places, and how they are found by name.
 */
#include "fescuemill/decide/gate_class.h"

#include "fescuemill/decide/gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Gives the class of a configuration with a name, or NULL. */
const struct class_target *gate_class_target(const struct service_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->class_count; i++) {
		if (strncmp(config->classes[i].name, name, CLASS_NAME_BYTES) == 0)
			return &config->classes[i];
	}
	return NULL;
}

/* Gives a class of the configuration a place of its own. */
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

/* Gives the index of a class for gate_offer, or -1 when there is none of this name. */
int gate_find_class(const struct gate *gate, const char *name)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (class->active && strncmp(class->target.name, name, CLASS_NAME_BYTES) == 0)
			return (int)i;
	}
	return -1;
}

/* Gives the class that is nearest in rank to a class which this gate does not know, by the name
 * that routes give it; -1 when there is none. Versions of the routes differ for a moment between
 * nodes. */
int gate_nearest_class(const struct gate *gate, const char *name)
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

/*
 * Counts finished calls against the latency targets of their classes.
 */
#include "fescuemilld/entry/entry_burn.h"

#include "fescuemill/base/clock.h"

#define HTTP_ERROR_MIN 500

/* Counts a finished call that arrived at `received_us` against its class's latency target. */
void entry_record_burn(const struct entry_options *options, const char *service,
		       const char *class_name, const struct caller_answer *answer,
		       uint64_t received_us)
{
	const struct service_config *config = config_find(options->config, service);
	const struct class_target *target = config ? config_find_class(config, class_name) : NULL;
	uint64_t now_us = clock_monotonic_us();
	struct burn_call ended = {
		.service = service,
		.class_name = class_name,
		.outcome = answer->outcome,
		.reason = answer->reason,
		.failed = answer->status >= HTTP_ERROR_MIN,
		.latency_us = now_us - received_us,
		.target_us = target ? target->latency_us : 0,
	};

	if (target)
		burn_record(options->burn, &ended, now_us);
}

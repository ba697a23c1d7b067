/*
 * Where the attempts of a call may go: the regions that its route and its customer allow, and the
 * gate that is chosen among those in them.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_PLACEMENT_H
#define FESCUEMILLD_ENTRY_ENTRY_PLACEMENT_H

#include "fescuemill/decide/customer.h"
#include "fescuemilld/entry/entry_defs.h"

/* Sets the regions of a new call. The route's regions and the customer may be NULL: any region. */
void entry_placement_start(struct entry_call *call, const struct region_set *route,
			   const struct customer *customer);
/* Selects the gate of the next attempt. Returns REASON_NONE, or why there is none. */
enum call_reason entry_placement_select(struct entry_call *call, struct node_incarnation *gate);
/* Returns the reason of a call for which no gate can be used: that of its last attempt. */
enum call_reason entry_placement_last_reason(const struct entry_call *call);
/* Returns a number that grows with every change of the members and of the evacuations. */
uint64_t entry_placement_revision(const struct entry_options *options);
/* Fills in what the choice needs to know of a member. */
void entry_placement_fill_member(const struct entry_options *options, const struct member *member,
				 struct choice_member *out);

#endif

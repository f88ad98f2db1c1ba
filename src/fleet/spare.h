/* How much room to keep free for work that has not come yet: what came while a machine boots, as
 * the last minutes show, for classes whose aims leave no time to rent for them. */
#pragma once

#include "fleet/fleet.h"
#include "checkin/roster.h"
#include "jobs/book.h"

typedef struct {
  MmJob like; /* only its spec is set: of the class's newest job */
  GArray *arrivals;
  gint surplus; /* tasks that could start now or soon, less what should be kept free */
} MmDemand;

MmDemand *mm_demand_new(void);
void mm_demand_destroy(gpointer demand);
/* A job of the class has come. */
void mm_demand_note(MmDemand *demand, const MmJob *job);
/* How many of the class's tasks should find room at once. */
guint mm_demand_target(const MmFleet *fleet, const MmDemand *demand);
/* How many would, on the machines that are up. */
guint mm_demand_room(const MmFleet *fleet, const MmDemand *demand);

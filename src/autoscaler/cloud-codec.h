/* The codec of the messages between the autoscaler and the cloud: the list of machines, machine
 * types, requests to rent and to release. No other file of this folder reads their JSON. */
#pragma once

#include "base/json.h"
#include "base/types.h"

/* A machine as the cloud lists it. */
typedef struct {
  MmName id;
  MmName type;
  MmName zone;
  gboolean is_spot;
  gboolean is_running;
  gboolean has_failed;
  double age_s;
} MmListedMachine;

/* One page of the list of machines. */
typedef struct {
  GArray *machines; /* MmListedMachine */
  char *next_after; /* id after which the next page begins; NULL: this was the last page */
} MmMachineListPage;

/* FALSE, with nothing to clear, when the body is no such page. Machines without a usable id are
 * left out. */
gboolean mm_machine_list_page_parse(MmMachineListPage *page, const json_t *body);
void mm_machine_list_page_clear(MmMachineListPage *page);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmMachineListPage, mm_machine_list_page_clear)
/* The path of the page of the list that begins after this id; NULL: of the first one. */
char *mm_machine_list_path(const char *after, guint page_size);

typedef struct {
  MmName name;
  MmResources resources; /* of one machine */
  double image_cache_gb;
  double image_fetch_gb_per_s;
  double on_demand_price;
  double spot_price;
  double boot_s;
  GArray *zones; /* MmName; empty: it is offered in any zone */
} MmInstanceType;

void mm_instance_type_free(MmInstanceType *type);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmInstanceType, mm_instance_type_free)
/* NULL when the type has no name. */
MmInstanceType *mm_instance_type_parse(const json_t *json);
/* The list of types in the cloud's response or in the stored record, lent; NULL: there is none. */
const json_t *mm_instance_type_list_of(const json_t *body);
/* What does not change from one response to the next. */
char *mm_instance_type_list_to_text_without_prices(const json_t *list);
/* The record that stores the list. */
json_t *mm_instance_type_record_to_json(const json_t *list);

/* `request_id` makes the request idempotent: the cloud carries it out once. */
json_t *mm_rent_request_to_json(const char *request_id, const MmName *type, const MmName *zone,
                                gboolean is_spot, guint n_machines);
/* How many machines were rented. */
guint mm_rent_response_count(const json_t *body);
/* `machine_ids`: strings. */
json_t *mm_release_request_to_json(const GPtrArray *machine_ids);

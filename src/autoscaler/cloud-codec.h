/* Encodes and decodes the JSON messages exchanged with the cloud: the list of machines, the machine
 * types, launch requests and release requests. No other file of this folder accesses the fields of
 * this JSON. */
#pragma once

#include "base/json.h"
#include "base/types.h"

/* One entry of the cloud's list of machines. */
typedef struct {
  MmName id;
  MmName type;
  MmName zone;
  gboolean is_spot;
  gboolean is_running; /* as the cloud reports; FALSE while the machine boots */
  gboolean has_failed; /* as the cloud reports */
  double age_s;
} MmListedMachine;

/* One page of the list of machines. */
typedef struct {
  GArray *machines; /* MmListedMachine, owned */
  char *next_after; /* machine id that the next page follows, owned; NULL: this is the last page */
} MmMachineListPage;

/* Parses a page. Omits machines whose id is missing, empty or longer than MM_NAME_MAX. Returns
 * FALSE when the body holds no array of machines; the page then needs no clearing. */
gboolean mm_machine_list_page_parse(MmMachineListPage *page, const MmJson *body);
/* Frees the contents of the page, not the page itself. */
void mm_machine_list_page_clear(MmMachineListPage *page);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmMachineListPage, mm_machine_list_page_clear)
/* Returns the newly allocated request path for one page of the list of machines. The page holds at
 * most `page_size` machines and starts after the machine id `after`. If `after` is NULL, it is the
 * first page. */
char *mm_machine_list_path(const char *after, guint page_size);

/* A machine type: what a machine of this type has and costs, and where it is available. */
typedef struct {
  MmName name;
  MmResources resources; /* of one machine */
  double image_cache_gb;
  double image_fetch_gb_per_s;
  double on_demand_price;
  double spot_price;
  double boot_s; /* nominal boot time */
  GArray *zones; /* MmName, owned; empty: available in any zone */
} MmInstanceType;

void mm_instance_type_free(MmInstanceType *type);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(MmInstanceType, mm_instance_type_free)
/* Returns a newly allocated type, or NULL if the JSON contains no name. Fields that the JSON lacks
 * get default values. */
MmInstanceType *mm_instance_type_parse(const MmJson *json);
/* Returns the list of types in `body`, which is the cloud's response or the stored record. The list
 * is borrowed from `body`. Returns NULL when `body` holds no list. */
const MmJson *mm_instance_type_list_of(const MmJson *body);
/* Returns the list as newly allocated JSON text. The text omits the prices, because these may
 * differ from one response of the cloud to the next. */
char *mm_instance_type_list_to_text_without_prices(const MmJson *list);
/* Returns the newly allocated record that stores the list in the key-value store. */
MmJson *mm_instance_type_record_to_json(const MmJson *list);

/* Returns the body, newly allocated, of a request to launch machines. `request_id` makes the
 * request idempotent: the cloud executes it only once. */
MmJson *mm_launch_request_to_json(const char *request_id, const MmName *type, const MmName *zone,
                                  gboolean is_spot, guint n_machines);
/* Returns how many machines were launched according to the cloud's response. */
guint mm_launch_response_count(const MmJson *body);
/* Returns the body, newly allocated, of a request to release the machines with these ids. */
MmJson *mm_release_request_to_json(const GPtrArray *machine_ids);

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
  gboolean is_running; /* as the cloud reports; FALSE while it boots */
  gboolean has_failed; /* as the cloud reports */
  double age_s;
} MmListedMachine;

/* One page of the list of machines. */
typedef struct {
  GArray *machines; /* MmListedMachine, owned */
  char *next_after; /* machine id that the next page follows, owned; NULL: this is the last page */
} MmMachineListPage;

/* Parses a page. Returns FALSE, and leaves nothing to clear, when the body holds no array of
 * machines. Omits machines whose id is missing, empty or longer than MM_NAME_MAX. */
gboolean mm_machine_list_page_parse(MmMachineListPage *page, const json_t *body);
/* Frees the contents of the page, not the page itself. */
void mm_machine_list_page_clear(MmMachineListPage *page);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmMachineListPage, mm_machine_list_page_clear)
/* Returns the request path, newly allocated, of the page of at most `page_size` machines that
 * follows the machine id `after`, or of the first page if `after` is NULL. */
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
/* Returns the type, newly allocated, or NULL if it has no name. Missing fields get defaults. */
MmInstanceType *mm_instance_type_parse(const json_t *json);
/* Returns the list of types in the cloud's response or in the stored record, borrowed from `body`,
 * or NULL when it holds none. */
const json_t *mm_instance_type_list_of(const json_t *body);
/* Returns the list as JSON text, newly allocated, without the prices, which may differ from one
 * response of the cloud to the next. */
char *mm_instance_type_list_to_text_without_prices(const json_t *list);
/* Returns the record, newly allocated, that stores the list in the key-value store. */
json_t *mm_instance_type_record_to_json(const json_t *list);

/* Returns the body, newly allocated, of a request to launch machines. `request_id` makes the
 * request idempotent: the cloud executes it only once. */
json_t *mm_launch_request_to_json(const char *request_id, const MmName *type, const MmName *zone,
                                  gboolean is_spot, guint n_machines);
/* Returns how many machines were launched according to the cloud's response. */
guint mm_launch_response_count(const json_t *body);
/* Returns the body, newly allocated, of a request to release the machines with these ids. */
json_t *mm_release_request_to_json(const GPtrArray *machine_ids);

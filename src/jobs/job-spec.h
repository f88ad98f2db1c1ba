/* What a user asks for, read and checked. */
#pragma once

#include "base/json.h"
#include "base/types.h"

#define MM_JOB_MAX_TASKS 100000
#define MM_JOB_MAX_MACHINE_TYPES 64

typedef enum { MM_JOB_KIND_ARRAY, MM_JOB_KIND_GANG, MM_JOB_KIND_SERVICE } MmJobKind;
typedef enum {
  MM_PRIORITY_LOW,
  MM_PRIORITY_NORMAL,
  MM_PRIORITY_URGENT,
  MM_PRIORITY_CRITICAL
} MmPriority;

typedef struct {
  MmName id;
  MmName job_class;
  MmName team;
  MmJobKind kind;
  MmPriority priority;
  guint n_tasks;
  MmResources task_resources;
  MmName image;
  double image_gb;
  MmName *allowed_types; /* allowed machine types; none: any */
  guint n_allowed_types;
  MmName zone; /* empty: any */
  gboolean requires_one_zone;
  gboolean spreads_over_zones;
  gboolean allows_spot;
  double run_estimate_s;
  double checkpoint_interval_s;
  double checkpoint_save_s;
  double deadline_s;    /* below 0: none */
  MmName *dependencies; /* ids of the jobs that must be done before any of its tasks starts */
  guint n_dependencies;
} MmJobSpec;

/* FALSE with a reason (static text) when the body is malformed. */
gboolean mm_job_spec_parse(MmJobSpec *spec, const json_t *json, const char **reason);
/* The known fields only, as they are to be stored; without the jobs that it depends on, which have
 * a shorter form of their own. */
json_t *mm_job_spec_to_json(const MmJobSpec *spec);
/* The ids of the jobs that it depends on as they are stored, such as "000398,000405"; NULL: none.
 */
char *mm_job_spec_dependencies_to_text(const MmJobSpec *spec);
/* FALSE when it is not such a text. */
gboolean mm_job_spec_parse_dependencies(MmJobSpec *spec, const char *text);
void mm_job_spec_clear(MmJobSpec *spec);
/* Whether this is an id in the form that users' ids always have. */
gboolean mm_job_id_is_valid(const char *id);
gboolean mm_job_spec_allows_type(const MmJobSpec *spec, const MmName *type);
/* Whether a machine of this kind may ever hold one of the job's tasks. */
gboolean mm_job_spec_allows_machine(const MmJobSpec *spec, const MmName *type, const MmName *zone,
                                    gboolean is_spot);
/* How many of the job's tasks one zone may hold. */
guint mm_job_spec_max_tasks_per_zone(const MmJobSpec *spec);

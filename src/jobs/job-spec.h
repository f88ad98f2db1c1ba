/* The spec of a job as its user submits it, validated.
 *
 * A spec never changes once it is parsed. It owns its lists; mm_job_spec_clear frees them. */
#pragma once

#include "base/json.h"
#include "base/types.h"

#define MM_JOB_MAX_TASKS 100000
#define MM_JOB_MAX_MACHINE_TYPES 64

typedef enum {
  MM_JOB_KIND_ARRAY,  /* tasks that run independently of one another */
  MM_JOB_KIND_GANG,   /* all tasks run at the same time or none does */
  MM_JOB_KIND_SERVICE /* tasks that run until the job is cancelled */
} MmJobKind;

/* In rising order. */
typedef enum {
  MM_PRIORITY_LOW,
  MM_PRIORITY_NORMAL,
  MM_PRIORITY_URGENT,
  MM_PRIORITY_CRITICAL
} MmPriority;

/* The value of deadline_s where the job has none. */
#define MM_JOB_NO_DEADLINE (-1.0)

typedef struct {
  MmName id;
  MmName job_class;
  MmName team;
  MmJobKind kind;
  MmPriority priority;
  guint n_tasks;
  MmResources task_resources; /* of each task */
  MmName image;
  double image_gb;
  MmName *allowed_types; /* machine types; n_allowed_types 0: any */
  guint n_allowed_types;
  MmName zone; /* empty: any */
  gboolean requires_one_zone;
  gboolean spreads_over_zones; /* no zone runs more than half of the tasks */
  gboolean allows_spot;
  double run_estimate_s; /* the user's, of one task */
  double checkpoint_interval_s;
  double checkpoint_save_s;
  double deadline_s;    /* after its submission, or MM_JOB_NO_DEADLINE */
  MmName *dependencies; /* ids of the jobs that must be done before any of its tasks starts */
  guint n_dependencies;
} MmJobSpec;

/* FALSE with a reason for the user (static text) when the body is malformed; then there is nothing
 * to clear. Unknown fields are ignored. */
gboolean mm_job_spec_parse(MmJobSpec *spec, const json_t *json, const char **reason);
void mm_job_spec_clear(MmJobSpec *spec);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmJobSpec, mm_job_spec_clear)

/* The spec as it is stored, which mm_job_spec_parse reads back, without the dependencies. */
json_t *mm_job_spec_to_json(const MmJobSpec *spec);
/* The dependencies as they are stored, such as "000398,000405"; NULL: none. */
char *mm_job_spec_dependencies_to_text(const MmJobSpec *spec);
/* Replaces the dependencies by those of the text; NULL leaves them. FALSE when it is malformed. */
gboolean mm_job_spec_parse_dependencies(MmJobSpec *spec, const char *text);

/* Whether this is an id in the form that users' ids always have. */
gboolean mm_job_id_is_valid(const char *id);

static inline gboolean
mm_job_spec_has_deadline(const MmJobSpec *spec) {
  return spec->deadline_s >= 0;
}

gboolean mm_job_spec_allows_type(const MmJobSpec *spec, const MmName *type);
/* Whether a machine of this type, zone and price model may ever run one of the job's tasks. */
gboolean mm_job_spec_allows_machine(const MmJobSpec *spec, const MmName *type, const MmName *zone,
                                    gboolean is_spot);
/* How many of the job's tasks may run in one zone. */
guint mm_job_spec_max_tasks_per_zone(const MmJobSpec *spec);

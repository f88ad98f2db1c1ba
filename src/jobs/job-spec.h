/* Validated spec of a job, as submitted by its user.
 *
 * A spec is immutable once it has been parsed. It owns its arrays; mm_job_spec_clear frees them. */
#pragma once

#include "base/json.h"
#include "base/types.h"

#define MM_JOB_MAX_TASKS 100000
#define MM_JOB_MAX_MACHINE_TYPES 64

typedef enum {
  MM_JOB_KIND_ARRAY,  /* tasks that run independently of one another */
  MM_JOB_KIND_GANG,   /* all tasks run at the same time, or none runs */
  MM_JOB_KIND_SERVICE /* tasks that run until the job is cancelled */
} MmJobKind;

/* Priorities in ascending order, because the code compares their values. */
typedef enum {
  MM_PRIORITY_LOW,
  MM_PRIORITY_NORMAL,
  MM_PRIORITY_URGENT,
  MM_PRIORITY_CRITICAL
} MmPriority;

/* Value of deadline_s for a job without a deadline. */
#define MM_JOB_NO_DEADLINE (-1.0)

typedef struct {
  MmName id;
  MmName job_class;
  MmName team;
  MmJobKind kind;
  MmPriority priority;
  guint n_tasks;
  MmResources task_resources; /* needed by each task */
  MmName image;
  double image_gb;
  MmName *allowed_types; /* allowed machine types; any type if n_allowed_types is 0 */
  guint n_allowed_types;
  MmName zone;                  /* required zone; empty: any */
  gboolean requires_one_zone;   /* all tasks run in the same zone */
  gboolean spreads_over_zones;  /* no zone runs more than half of the tasks */
  gboolean allows_spot;         /* tasks may run on spot machines */
  double run_estimate_s;        /* the user's estimate of the run time of one task */
  double checkpoint_interval_s; /* time between checkpoints */
  double checkpoint_save_s;     /* time that saving a checkpoint takes */
  double deadline_s;            /* relative to the submission; MM_JOB_NO_DEADLINE: none */
  MmName *dependencies; /* ids of the jobs that must be done before any task of this job starts */
  guint n_dependencies;
} MmJobSpec;

/* Parses and validates a spec. Does not check whether the dependencies exist. Unknown fields are
 * ignored. Returns FALSE if the body is malformed; `*reason` is then static text for the user, and
 * there is nothing to clear. */
gboolean mm_job_spec_parse(MmJobSpec *spec, const MmJson *json, const char **reason);
void mm_job_spec_clear(MmJobSpec *spec);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(MmJobSpec, mm_job_spec_clear)

/* Returns the spec without its dependencies, in the stored form that mm_job_spec_parse reads. */
MmJson *mm_job_spec_to_json(const MmJobSpec *spec);
/* Returns the dependencies in their stored form, such as "000398,000405", or NULL if there are
 * none; free with g_free. */
char *mm_job_spec_dependencies_to_text(const MmJobSpec *spec);
/* Replaces the dependencies by those that `text` lists in the form of
 * mm_job_spec_dependencies_to_text. If `text` is NULL, the dependencies remain unchanged. Returns
 * FALSE if the text is malformed. */
gboolean mm_job_spec_parse_dependencies(MmJobSpec *spec, const char *text);

/* Returns whether `id` is a valid job id: WIRE_JOB_PREFIX followed by digits, at most MM_NAME_MAX
 * characters. `id` may be NULL. */
gboolean mm_job_id_is_valid(const char *id);

static inline gboolean
mm_job_spec_has_deadline(const MmJobSpec *spec) {
  return spec->deadline_s >= 0;
}

/* Returns whether the spec allows the job's tasks on machines of this type. */
gboolean mm_job_spec_allows_type(const MmJobSpec *spec, const MmName *type);
/* Returns whether the spec allows the job's tasks on machines of this type, zone and price model
 * (spot or not). */
gboolean mm_job_spec_allows_machine(const MmJobSpec *spec, const MmName *type, const MmName *zone,
                                    gboolean is_spot);
/* Returns how many tasks of the job may run in one zone. */
guint mm_job_spec_max_tasks_per_zone(const MmJobSpec *spec);

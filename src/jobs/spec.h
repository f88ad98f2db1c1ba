/* What a user asks for, read and checked. */
#pragma once

#include "base/json.h"
#include "base/types.h"

#define MM_JOB_TASKS_MAX 100000
#define MM_JOB_TYPES_MAX 64

typedef enum { MM_KIND_ARRAY, MM_KIND_GANG, MM_KIND_SERVICE } MmKind;
typedef enum { MM_LOW, MM_NORMAL, MM_URGENT, MM_CRITICAL } MmPriority;

typedef struct {
  MmName id;
  MmName job_class;
  MmName team;
  MmKind kind;
  MmPriority priority;
  guint tasks;
  MmResources need;
  MmName image;
  double image_gb;
  MmName *types; /* allowed machine types; none: any */
  guint n_types;
  MmName zone; /* empty: any */
  gboolean one_zone;
  gboolean spread;
  gboolean spot;
  double estimate_s;
  double checkpoint_s;
  double save_s;
  double deadline_s; /* below 0: none */
  MmName *needs;     /* ids of the jobs that must be done before any of its tasks starts */
  guint n_needs;
} MmSpec;

/* FALSE with a reason (static text) when the body is malformed. */
gboolean mm_spec_parse(MmSpec *spec, const json_t *json, const char **reason);
/* The known fields only, as they are to be stored; without the jobs that it depends on, which have
 * a shorter form of their own. */
json_t *mm_spec_to_json(const MmSpec *spec);
/* The ids of the jobs that it depends on as they are stored, such as "000398,000405"; NULL: none.
 */
char *mm_spec_needs_text(const MmSpec *spec);
/* FALSE when it is not such a text. */
gboolean mm_spec_needs_parse(MmSpec *spec, const char *text);
void mm_spec_clear(MmSpec *spec);
/* Whether this is an id in the form that users' ids always have. */
gboolean mm_spec_id_is_valid(const char *id);
gboolean mm_spec_allows_type(const MmSpec *spec, const MmName *type);
/* Whether a machine of this kind may ever hold one of the job's tasks. */
gboolean mm_spec_allows(const MmSpec *spec, const MmName *type, const MmName *zone,
                        gboolean is_spot);
/* How many of the job's tasks one zone may hold. */
guint mm_spec_zone_limit(const MmSpec *spec);

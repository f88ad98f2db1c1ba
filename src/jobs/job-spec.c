#include "jobs/job-spec.h"

#include <math.h>

#include "base/wire.h"

gboolean
mm_job_id_is_valid(const char *id) {
  gsize prefix_length = strlen(WIRE_JOB_PREFIX);

  if (id == NULL || !g_str_has_prefix(id, WIRE_JOB_PREFIX) || strlen(id) > MM_NAME_MAX
      || id[prefix_length] == '\0')
    return FALSE;
  for (const char *c = id + prefix_length; *c != '\0'; c++)
    if (!g_ascii_isdigit(*c))
      return FALSE;
  return TRUE;
}

static gboolean
is_name(const char *text) {
  return text != NULL && text[0] != '\0' && strlen(text) <= MM_NAME_MAX;
}

static gboolean
read_name(const MmJson *json, const char *key, MmName *name, gboolean required) {
  const MmJson *value = mm_json_get(json, key);
  const char *text = mm_json_string_value(value);

  if (value == NULL)
    return !required;
  if (!is_name(text))
    return FALSE;
  *name = mm_name(text);
  return TRUE;
}

/* Value of read_amount's parameter `fallback` that makes the field mandatory. */
#define REQUIRED NAN
/* Exclusive upper bound of amounts. */
#define AMOUNT_LIMIT 1e12

static gboolean
read_amount(const MmJson *json, const char *key, double *amount, double fallback) {
  const MmJson *value = mm_json_get(json, key);

  *amount = fallback;
  if (value == NULL)
    return !isnan(fallback);
  if (!mm_json_is_number(value))
    return FALSE;
  *amount = mm_json_number_value(value);
  return isfinite(*amount) && *amount >= 0 && *amount < AMOUNT_LIMIT;
}

static gboolean
read_boolean(const MmJson *json, const char *key, gboolean *flag) {
  const MmJson *value = mm_json_get(json, key);

  *flag = mm_json_is_true(value);
  return mm_json_is_boolean(value);
}

static gboolean
read_allowed_types(const MmJson *json, MmJobSpec *spec) {
  const MmJson *list = mm_json_get(json, WIRE_TYPES);
  size_t i;
  MmJson *item;

  if (list == NULL)
    return TRUE;
  if (!mm_json_is_array(list) || mm_json_array_size(list) == 0
      || mm_json_array_size(list) > MM_JOB_MAX_MACHINE_TYPES)
    return FALSE;
  spec->n_allowed_types = (guint)mm_json_array_size(list);
  spec->allowed_types = g_new0(MmName, spec->n_allowed_types);
  MM_JSON_ARRAY_FOREACH (list, i, item) {
    const char *name = mm_json_string_value(item);
    if (!is_name(name))
      return FALSE;
    spec->allowed_types[i] = mm_name(name);
  }
  return TRUE;
}

/* Reads the ids of the dependencies; duplicates are ignored. */
static gboolean
read_dependencies(const MmJson *json, MmJobSpec *spec) {
  const MmJson *list = mm_json_get(json, WIRE_DEPENDENCIES);
  g_autoptr(GHashTable) seen_ids = g_hash_table_new(g_str_hash, g_str_equal);
  size_t i;
  MmJson *item;

  if (list == NULL)
    return TRUE;
  if (!mm_json_is_array(list))
    return FALSE;
  spec->dependencies = g_new0(MmName, mm_json_array_size(list));
  MM_JSON_ARRAY_FOREACH (list, i, item) {
    const char *id = mm_json_string_value(item);
    if (!is_name(id))
      return FALSE;
    if (g_hash_table_add(seen_ids, (gpointer)id))
      spec->dependencies[spec->n_dependencies++] = mm_name(id);
  }
  spec->dependencies = g_renew(MmName, spec->dependencies, spec->n_dependencies);
  return TRUE;
}

static gboolean
read_keyword(const MmJson *json, const char *key, const char *const *words, guint n_words,
             guint *found_index) {
  const char *text = mm_json_string(json, key);

  for (guint i = 0; i < n_words && text != NULL; i++) {
    if (strcmp(text, words[i]) == 0) {
      *found_index = i;
      return TRUE;
    }
  }
  return FALSE;
}

static const char *const kind_names[] = { WIRE_KIND_ARRAY, WIRE_KIND_GANG, WIRE_KIND_SERVICE };
static const char *const priority_names[] = { "low", "normal", "urgent", "critical" };

/* Each of the following functions reads one group of fields. mm_job_spec_parse calls the functions
 * in this order and reports only the first malformed field to the user. Each function returns the
 * reason why a field is malformed, as static text, or NULL if all its fields are valid. */

static const char *
read_identity(const MmJson *json, MmJobSpec *spec) {
  const MmJson *n_tasks = mm_json_get(json, WIRE_TASKS);
  guint kind, priority;

  if (!mm_job_id_is_valid(mm_json_string(json, WIRE_JOB_ID)))
    return WIRE_JOB_ID " must be " WIRE_JOB_PREFIX " and digits";
  if (!read_name(json, WIRE_CLASS, &spec->job_class, TRUE))
    return WIRE_CLASS " must be text";
  if (!read_name(json, WIRE_TEAM, &spec->team, TRUE))
    return WIRE_TEAM " must be text";
  if (!read_keyword(json, WIRE_KIND, kind_names, G_N_ELEMENTS(kind_names), &kind))
    return WIRE_KIND " must be array, group or service";
  if (!read_keyword(json, WIRE_PRIORITY, priority_names, G_N_ELEMENTS(priority_names), &priority))
    return WIRE_PRIORITY " must be critical, urgent, normal or low";
  if (!mm_json_is_count(n_tasks) || mm_json_count_value(n_tasks) < 1
      || mm_json_count_value(n_tasks) > MM_JOB_MAX_TASKS)
    return WIRE_TASKS " must be a whole number from 1 to " G_STRINGIFY(MM_JOB_MAX_TASKS);
  spec->id = mm_name(mm_json_string(json, WIRE_JOB_ID));
  spec->kind = (MmJobKind)kind;
  spec->priority = (MmPriority)priority;
  spec->n_tasks = (guint)mm_json_count_value(n_tasks);
  return NULL;
}

static const char *
read_task_resources(const MmJson *json, MmJobSpec *spec) {
  if (!read_amount(json, WIRE_CORES, &spec->task_resources.cores, REQUIRED))
    return WIRE_CORES " must be a number, 0 or more";
  if (!read_amount(json, WIRE_ACCELERATORS, &spec->task_resources.accelerators, REQUIRED))
    return WIRE_ACCELERATORS " must be a number, 0 or more";
  if (!read_amount(json, WIRE_MEMORY, &spec->task_resources.memory_gb, REQUIRED))
    return WIRE_MEMORY " must be a number, 0 or more";
  spec->task_resources.slots = 1;
  if (!read_name(json, WIRE_IMAGE, &spec->image, TRUE))
    return WIRE_IMAGE " must be text";
  if (!read_amount(json, WIRE_IMAGE_GB, &spec->image_gb, REQUIRED))
    return WIRE_IMAGE_GB " must be a number, 0 or more";
  return NULL;
}

static const char *
read_placement_rules(const MmJson *json, MmJobSpec *spec) {
  if (!read_allowed_types(json, spec))
    return WIRE_TYPES " must be null or a list of names";
  if (!read_name(json, WIRE_ZONE, &spec->zone, FALSE))
    return WIRE_ZONE " must be null or text";
  if (!read_boolean(json, WIRE_ONE_ZONE, &spec->requires_one_zone))
    return WIRE_ONE_ZONE " must be true or false";
  if (!read_boolean(json, WIRE_SPREAD, &spec->spreads_over_zones))
    return WIRE_SPREAD " must be true or false";
  if (!read_boolean(json, WIRE_SPOT, &spec->allows_spot))
    return WIRE_SPOT " must be true or false";
  return NULL;
}

static const char *
read_times_and_dependencies(const MmJson *json, MmJobSpec *spec) {
  if (!read_amount(json, WIRE_ESTIMATE, &spec->run_estimate_s, REQUIRED))
    return WIRE_ESTIMATE " must be a number, 0 or more";
  if (!read_amount(json, WIRE_CHECKPOINT_INTERVAL, &spec->checkpoint_interval_s, REQUIRED))
    return WIRE_CHECKPOINT_INTERVAL " must be a number, 0 or more";
  if (!read_amount(json, WIRE_CHECKPOINT_DURATION, &spec->checkpoint_save_s, REQUIRED))
    return WIRE_CHECKPOINT_DURATION " must be a number, 0 or more";
  if (!read_amount(json, WIRE_DEADLINE, &spec->deadline_s, MM_JOB_NO_DEADLINE))
    return WIRE_DEADLINE " must be null or a number, 0 or more";
  if (!read_dependencies(json, spec))
    return WIRE_DEPENDENCIES " must be null or a list of job ids";
  return NULL;
}

gboolean
mm_job_spec_parse(MmJobSpec *spec, const MmJson *json, const char **reason) {
  const char *error = NULL;

  memset(spec, 0, sizeof *spec);
  if (!mm_json_is_object(json))
    error = "the body must be a JSON object";
  if (error == NULL)
    error = read_identity(json, spec);
  if (error == NULL)
    error = read_task_resources(json, spec);
  if (error == NULL)
    error = read_placement_rules(json, spec);
  if (error == NULL)
    error = read_times_and_dependencies(json, spec);
  if (error == NULL)
    return TRUE;
  *reason = error;
  mm_job_spec_clear(spec);
  return FALSE;
}

MmJson *
mm_job_spec_to_json(const MmJobSpec *spec) {
  MmJson *allowed_types = spec->n_allowed_types > 0 ? mm_json_new_array() : mm_json_new_null();
  MmJson *json;

  for (guint i = 0; i < spec->n_allowed_types; i++)
    mm_json_array_append(allowed_types, mm_json_new_string(spec->allowed_types[i].s));
  json = mm_json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:f, s:f, s:f, s:s, s:f, s:o}", WIRE_JOB_ID,
                      spec->id.s, WIRE_CLASS, spec->job_class.s, WIRE_TEAM, spec->team.s, WIRE_KIND,
                      kind_names[spec->kind], WIRE_PRIORITY, priority_names[spec->priority],
                      WIRE_TASKS, (guint64)spec->n_tasks, WIRE_CORES, spec->task_resources.cores,
                      WIRE_ACCELERATORS, spec->task_resources.accelerators, WIRE_MEMORY,
                      spec->task_resources.memory_gb, WIRE_IMAGE, spec->image.s, WIRE_IMAGE_GB,
                      spec->image_gb, WIRE_TYPES, allowed_types);
  if (!mm_name_is_empty(&spec->zone))
    mm_json_object_set(json, WIRE_ZONE, mm_json_new_string(spec->zone.s));
  mm_json_object_set(json, WIRE_ONE_ZONE, mm_json_new_boolean(spec->requires_one_zone));
  mm_json_object_set(json, WIRE_SPREAD, mm_json_new_boolean(spec->spreads_over_zones));
  mm_json_object_set(json, WIRE_SPOT, mm_json_new_boolean(spec->allows_spot));
  mm_json_object_set(json, WIRE_ESTIMATE, mm_json_new_real(spec->run_estimate_s));
  mm_json_object_set(json, WIRE_CHECKPOINT_INTERVAL, mm_json_new_real(spec->checkpoint_interval_s));
  mm_json_object_set(json, WIRE_CHECKPOINT_DURATION, mm_json_new_real(spec->checkpoint_save_s));
  if (mm_job_spec_has_deadline(spec))
    mm_json_object_set(json, WIRE_DEADLINE, mm_json_new_real(spec->deadline_s));
  return json;
}

/* A job record stores dependencies as the numeric parts of their ids, joined by this separator. */
#define DEPENDENCY_SEPARATOR ","

char *
mm_job_spec_dependencies_to_text(const MmJobSpec *spec) {
  g_autoptr(GString) text = NULL;

  if (spec->n_dependencies == 0)
    return NULL;
  text = g_string_new(NULL);
  for (guint i = 0; i < spec->n_dependencies; i++) {
    if (i > 0)
      g_string_append(text, DEPENDENCY_SEPARATOR);
    g_string_append(text, spec->dependencies[i].s + strlen(WIRE_JOB_PREFIX));
  }
  return g_string_free(g_steal_pointer(&text), FALSE);
}

gboolean
mm_job_spec_parse_dependencies(MmJobSpec *spec, const char *text) {
  g_auto(GStrv) numbers = NULL;

  if (text == NULL)
    return TRUE;
  numbers = g_strsplit(text, DEPENDENCY_SEPARATOR, -1);
  g_free(spec->dependencies);
  spec->n_dependencies = 0;
  spec->dependencies = g_new0(MmName, g_strv_length(numbers));
  for (guint i = 0; numbers[i] != NULL; i++) {
    g_autofree char *id = g_strconcat(WIRE_JOB_PREFIX, numbers[i], NULL);
    if (!mm_job_id_is_valid(id))
      return FALSE;
    spec->dependencies[spec->n_dependencies++] = mm_name(id);
  }
  return TRUE;
}

void
mm_job_spec_clear(MmJobSpec *spec) {
  g_clear_pointer(&spec->allowed_types, g_free);
  spec->n_allowed_types = 0;
  g_clear_pointer(&spec->dependencies, g_free);
  spec->n_dependencies = 0;
}

gboolean
mm_job_spec_allows_type(const MmJobSpec *spec, const MmName *type) {
  for (guint i = 0; i < spec->n_allowed_types; i++)
    if (mm_name_equal(&spec->allowed_types[i], type))
      return TRUE;
  return spec->n_allowed_types == 0;
}

gboolean
mm_job_spec_allows_machine(const MmJobSpec *spec, const MmName *type, const MmName *zone,
                           gboolean is_spot) {
  return mm_job_spec_allows_type(spec, type)
         && (mm_name_is_empty(&spec->zone) || mm_name_equal(&spec->zone, zone))
         && (spec->allows_spot || !is_spot);
}

guint
mm_job_spec_max_tasks_per_zone(const MmJobSpec *spec) {
  return spec->spreads_over_zones ? (spec->n_tasks + 1) / 2 : spec->n_tasks;
}

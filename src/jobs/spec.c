#include "jobs/spec.h"

#include <math.h>

#include "base/wire.h"

gboolean
mm_spec_id_is_valid(const char *id) {
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
read_name(const json_t *json, const char *key, MmName *name, gboolean required) {
  const json_t *value = mm_json_get(json, key);
  const char *text = json_string_value(value);

  if (value == NULL)
    return !required;
  if (text == NULL || text[0] == '\0' || strlen(text) > MM_NAME_MAX
      || strlen(text) != json_string_length(value))
    return FALSE;
  *name = mm_name(text);
  return TRUE;
}

static gboolean
read_amount(const json_t *json, const char *key, double *amount, double fallback) {
  const json_t *value = mm_json_get(json, key);

  *amount = fallback;
  if (value == NULL)
    return !isnan(fallback);
  if (!json_is_number(value))
    return FALSE;
  *amount = json_number_value(value);
  return isfinite(*amount) && *amount >= 0 && *amount < 1e12;
}

static gboolean
read_flag(const json_t *json, const char *key, gboolean *flag) {
  const json_t *value = mm_json_get(json, key);

  *flag = json_is_true(value);
  return json_is_boolean(value);
}

static gboolean
read_types(const json_t *json, MmSpec *spec) {
  const json_t *list = mm_json_get(json, WIRE_TYPES);
  size_t i;
  json_t *item;

  if (list == NULL)
    return TRUE;
  if (!json_is_array(list) || json_array_size(list) == 0
      || json_array_size(list) > MM_JOB_TYPES_MAX)
    return FALSE;
  spec->n_types = (guint)json_array_size(list);
  spec->types = g_new0(MmName, spec->n_types);
  json_array_foreach(list, i, item) {
    if (!json_is_string(item) || json_string_length(item) == 0
        || json_string_length(item) > MM_NAME_MAX)
      return FALSE;
    spec->types[i] = mm_name(json_string_value(item));
  }
  return TRUE;
}

/* An id that is named twice counts once. */
static gboolean
read_needs(const json_t *json, MmSpec *spec) {
  const json_t *list = mm_json_get(json, WIRE_NEEDS);
  g_autoptr(GHashTable) seen_ids = g_hash_table_new(g_str_hash, g_str_equal);
  size_t i;
  json_t *item;

  if (list == NULL)
    return TRUE;
  if (!json_is_array(list))
    return FALSE;
  spec->needs = g_new0(MmName, json_array_size(list));
  json_array_foreach(list, i, item) {
    const char *id = json_string_value(item);
    if (id == NULL || id[0] == '\0' || json_string_length(item) > MM_NAME_MAX
        || strlen(id) != json_string_length(item))
      return FALSE;
    if (g_hash_table_add(seen_ids, (gpointer)id))
      spec->needs[spec->n_needs++] = mm_name(id);
  }
  return TRUE;
}

static gboolean
read_word(const json_t *json, const char *key, const char *const *words, guint n_words,
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

static const char *const kinds[] = { WIRE_KIND_ARRAY, WIRE_KIND_GANG, WIRE_KIND_SERVICE };
static const char *const priorities[] = { "low", "normal", "urgent", "critical" };

gboolean
mm_spec_parse(MmSpec *spec, const json_t *json, const char **reason) {
  const json_t *n_tasks = mm_json_get(json, WIRE_TASKS);
  guint kind = 0, priority = 0;

  memset(spec, 0, sizeof *spec);
  if (!json_is_object(json))
    *reason = "the body must be a JSON object";
  else if (!mm_spec_id_is_valid(mm_json_string(json, WIRE_JOB_ID)))
    *reason = WIRE_JOB_ID " must be " WIRE_JOB_PREFIX " and digits";
  else if (!read_name(json, WIRE_CLASS, &spec->job_class, TRUE))
    *reason = WIRE_CLASS " must be text";
  else if (!read_name(json, WIRE_TEAM, &spec->team, TRUE))
    *reason = WIRE_TEAM " must be text";
  else if (!read_word(json, WIRE_KIND, kinds, G_N_ELEMENTS(kinds), &kind))
    *reason = WIRE_KIND " must be array, group or service";
  else if (!read_word(json, WIRE_PRIORITY, priorities, G_N_ELEMENTS(priorities), &priority))
    *reason = WIRE_PRIORITY " must be critical, urgent, normal or low";
  else if (!json_is_integer(n_tasks) || json_integer_value(n_tasks) < 1
           || json_integer_value(n_tasks) > MM_JOB_TASKS_MAX)
    *reason = WIRE_TASKS " must be a whole number from 1 to 100000";
  else if (!read_amount(json, WIRE_CORES, &spec->need.cores, NAN))
    *reason = WIRE_CORES " must be a number, 0 or more";
  else if (!read_amount(json, WIRE_ACCELERATORS, &spec->need.accelerators, NAN))
    *reason = WIRE_ACCELERATORS " must be a number, 0 or more";
  else if (!read_amount(json, WIRE_MEMORY, &spec->need.memory_gb, NAN))
    *reason = WIRE_MEMORY " must be a number, 0 or more";
  else if (!read_name(json, WIRE_IMAGE, &spec->image, TRUE))
    *reason = WIRE_IMAGE " must be text";
  else if (!read_amount(json, WIRE_IMAGE_GB, &spec->image_gb, NAN))
    *reason = WIRE_IMAGE_GB " must be a number, 0 or more";
  else if (!read_types(json, spec))
    *reason = WIRE_TYPES " must be null or a list of names";
  else if (!read_name(json, WIRE_ZONE, &spec->zone, FALSE))
    *reason = WIRE_ZONE " must be null or text";
  else if (!read_flag(json, WIRE_ONE_ZONE, &spec->one_zone))
    *reason = WIRE_ONE_ZONE " must be true or false";
  else if (!read_flag(json, WIRE_SPREAD, &spec->spread))
    *reason = WIRE_SPREAD " must be true or false";
  else if (!read_flag(json, WIRE_SPOT, &spec->spot))
    *reason = WIRE_SPOT " must be true or false";
  else if (!read_amount(json, WIRE_ESTIMATE, &spec->estimate_s, NAN))
    *reason = WIRE_ESTIMATE " must be a number, 0 or more";
  else if (!read_amount(json, WIRE_CHECKPOINT, &spec->checkpoint_s, NAN))
    *reason = WIRE_CHECKPOINT " must be a number, 0 or more";
  else if (!read_amount(json, WIRE_SAVE, &spec->save_s, NAN))
    *reason = WIRE_SAVE " must be a number, 0 or more";
  else if (!read_amount(json, WIRE_DEADLINE, &spec->deadline_s, -1))
    *reason = WIRE_DEADLINE " must be null or a number, 0 or more";
  else if (!read_needs(json, spec))
    *reason = WIRE_NEEDS " must be null or a list of job ids";
  else {
    spec->id = mm_name(mm_json_string(json, WIRE_JOB_ID));
    spec->kind = (MmKind)kind;
    spec->priority = (MmPriority)priority;
    spec->tasks = (guint)json_integer_value(n_tasks);
    return TRUE;
  }
  mm_spec_clear(spec);
  return FALSE;
}

json_t *
mm_spec_to_json(const MmSpec *spec) {
  json_t *allowed_types = spec->n_types > 0 ? json_array() : json_null();
  json_t *json;

  for (guint i = 0; i < spec->n_types; i++)
    json_array_append_new(allowed_types, json_string(spec->types[i].s));
  json = json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:f, s:f, s:f, s:s, s:f, s:o}", WIRE_JOB_ID,
                   spec->id.s, WIRE_CLASS, spec->job_class.s, WIRE_TEAM, spec->team.s, WIRE_KIND,
                   kinds[spec->kind], WIRE_PRIORITY, priorities[spec->priority], WIRE_TASKS,
                   (json_int_t)spec->tasks, WIRE_CORES, spec->need.cores, WIRE_ACCELERATORS,
                   spec->need.accelerators, WIRE_MEMORY, spec->need.memory_gb, WIRE_IMAGE,
                   spec->image.s, WIRE_IMAGE_GB, spec->image_gb, WIRE_TYPES, allowed_types);
  if (!mm_name_is_empty(&spec->zone))
    json_object_set_new(json, WIRE_ZONE, json_string(spec->zone.s));
  json_object_set_new(json, WIRE_ONE_ZONE, json_boolean(spec->one_zone));
  json_object_set_new(json, WIRE_SPREAD, json_boolean(spec->spread));
  json_object_set_new(json, WIRE_SPOT, json_boolean(spec->spot));
  json_object_set_new(json, WIRE_ESTIMATE, json_real(spec->estimate_s));
  json_object_set_new(json, WIRE_CHECKPOINT, json_real(spec->checkpoint_s));
  json_object_set_new(json, WIRE_SAVE, json_real(spec->save_s));
  if (spec->deadline_s >= 0)
    json_object_set_new(json, WIRE_DEADLINE, json_real(spec->deadline_s));
  return json;
}

#define NEEDS_SEPARATOR ","

char *
mm_spec_needs_text(const MmSpec *spec) {
  g_autoptr(GString) text = NULL;

  if (spec->n_needs == 0)
    return NULL;
  text = g_string_new(NULL);
  for (guint i = 0; i < spec->n_needs; i++) {
    if (i > 0)
      g_string_append(text, NEEDS_SEPARATOR);
    g_string_append(text, spec->needs[i].s + strlen(WIRE_JOB_PREFIX));
  }
  return g_string_free(g_steal_pointer(&text), FALSE);
}

gboolean
mm_spec_needs_parse(MmSpec *spec, const char *text) {
  g_auto(GStrv) numbers = NULL;

  if (text == NULL)
    return TRUE;
  numbers = g_strsplit(text, NEEDS_SEPARATOR, -1);
  g_free(spec->needs);
  spec->n_needs = 0;
  spec->needs = g_new0(MmName, g_strv_length(numbers));
  for (guint i = 0; numbers[i] != NULL; i++) {
    g_autofree char *id = g_strconcat(WIRE_JOB_PREFIX, numbers[i], NULL);
    if (!mm_spec_id_is_valid(id))
      return FALSE;
    spec->needs[spec->n_needs++] = mm_name(id);
  }
  return TRUE;
}

void
mm_spec_clear(MmSpec *spec) {
  g_clear_pointer(&spec->types, g_free);
  spec->n_types = 0;
  g_clear_pointer(&spec->needs, g_free);
  spec->n_needs = 0;
}

gboolean
mm_spec_allows_type(const MmSpec *spec, const MmName *type) {
  for (guint i = 0; i < spec->n_types; i++)
    if (mm_name_equal(&spec->types[i], type))
      return TRUE;
  return spec->n_types == 0;
}

gboolean
mm_spec_allows(const MmSpec *spec, const MmName *type, const MmName *zone, gboolean is_spot) {
  return mm_spec_allows_type(spec, type)
         && (mm_name_is_empty(&spec->zone) || mm_name_equal(&spec->zone, zone))
         && (spec->spot || !is_spot);
}

guint
mm_spec_zone_limit(const MmSpec *spec) {
  return spec->spread ? (spec->tasks + 1) / 2 : spec->tasks;
}

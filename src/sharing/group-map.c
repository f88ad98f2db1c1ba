#include "sharing/group-map.h"

#include "base/json.h"
#include "base/log.h"
#include "config/operators.h"

/* The names in a key's value. */
#define FIELD_LEASE "c"
#define FIELD_GROUP_COUNT "of"
#define FIELD_GRANTS "g"

/* ---- what one key says ---- */

static void
group_grant_free(gpointer data) {
  MmGroupGrant *grant = data;

  roaring_bitmap_free(grant->groups);
  g_free(grant);
}

static void
holding_free(gpointer data) {
  MmGroupHolding *holding = data;

  g_ptr_array_unref(holding->grants);
  g_free(holding);
}

/* One entry: [term, "ranges"]. */
static MmGroupGrant *
grant_from_json(const json_t *entry, guint n_groups) {
  const json_t *term = json_array_get(entry, 0), *ranges = json_array_get(entry, 1);
  MmGroupSet *set;
  MmGroupGrant *grant;

  if (!json_is_integer(term) || json_integer_value(term) <= 0 || !json_is_string(ranges))
    return NULL;
  set = mm_group_set_from_text(json_string_value(ranges), n_groups);
  if (set == NULL)
    return NULL;
  grant = g_new(MmGroupGrant, 1);
  *grant = (MmGroupGrant){ { (guint64)json_integer_value(term) }, set };
  return grant;
}

/* NULL where the value is malformed. */
static MmGroupHolding *
holding_from_json(const char *label, const json_t *value, MmKeyVersion version) {
  const json_t *grants = mm_json_get(value, FIELD_GRANTS);
  MmGroupHolding *holding = g_new0(MmGroupHolding, 1);
  size_t i;
  json_t *entry;

  holding->node = mm_name(label);
  holding->lease_id = mm_json_count(value, FIELD_LEASE, 0);
  holding->version = version;
  holding->n_groups = (guint)MIN(mm_json_count(value, FIELD_GROUP_COUNT, 0), G_MAXUINT);
  holding->grants = g_ptr_array_new_with_free_func(group_grant_free);
  if (holding->lease_id == 0 || holding->n_groups == 0 || holding->n_groups > MM_GROUPS_MAX
      || !json_is_array(grants)) {
    holding_free(holding);
    return NULL;
  }
  json_array_foreach(grants, i, entry) {
    MmGroupGrant *grant = grant_from_json(entry, holding->n_groups);
    if (grant == NULL) {
      holding_free(holding);
      return NULL;
    }
    g_ptr_array_add(holding->grants, grant);
  }
  return holding;
}

/* ---- the map ---- */

MmGroupMap *
mm_group_map_new(guint n_groups) {
  MmGroupMap *map = g_new0(MmGroupMap, 1);

  map->n_groups = n_groups;
  map->holdings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, holding_free);
  map->malformed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  map->owners = g_new0(MmGroupOwner, n_groups);
  return map;
}

void
mm_group_map_free(MmGroupMap *map) {
  g_hash_table_unref(map->holdings);
  g_hash_table_unref(map->malformed);
  g_free(map->owners);
  g_free(map);
}

typedef struct {
  MmGroupMap *map;
  const MmGroupHolding *holding;
  MmTerm term;
} OwnerUpdate;

static bool
update_owner(guint32 group, void *data) {
  const OwnerUpdate *update = data;
  MmGroupOwner *owner = &update->map->owners[group];

  /* In two keys only if somebody wrote by hand: the later transaction stands. */
  if (update->term.v > owner->term.v)
    *owner = (MmGroupOwner){ update->holding, update->term };
  return true;
}

/* Keys that divide the fleet otherwise list nothing here. */
static void
update_owners(MmGroupMap *map) {
  GHashTableIter iter;
  gpointer value;

  memset(map->owners, 0, map->n_groups * sizeof *map->owners);
  g_hash_table_iter_init(&iter, map->holdings);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmGroupHolding *holding = value;
    for (guint i = 0; i < holding->grants->len && holding->n_groups == map->n_groups; i++) {
      const MmGroupGrant *grant = g_ptr_array_index(holding->grants, i);
      OwnerUpdate update = { map, holding, grant->term };
      roaring_iterate(grant->groups, update_owner, &update);
      map->newest_term.v = MAX(map->newest_term.v, grant->term.v);
    }
  }
}

static void
remove_holding(MmGroupMap *map, const char *label) {
  g_hash_table_remove(map->holdings, label);
  g_hash_table_remove(map->malformed, label);
}

gboolean
mm_group_map_put(MmGroupMap *map, const char *label, const json_t *value, MmKeyVersion version) {
  MmGroupHolding *holding = holding_from_json(label, value, version);

  remove_holding(map, label);
  if (holding != NULL) {
    g_hash_table_replace(map->holdings, g_strdup(label), holding);
  } else {
    MmKeyVersion *malformed_version = g_new(MmKeyVersion, 1);
    *malformed_version = version;
    g_hash_table_replace(map->malformed, g_strdup(label), malformed_version);
    mm_error("key of machine groups is malformed, nothing is granted there node=%s", label);
  }
  update_owners(map);
  return holding != NULL;
}

void
mm_group_map_remove(MmGroupMap *map, const char *label) {
  remove_holding(map, label);
  update_owners(map);
}

void
mm_group_map_list_keys(const MmGroupMap *map, const char *prefix, GPtrArray *keys) {
  GHashTable *const tables[] = { map->holdings, map->malformed };

  for (guint i = 0; i < G_N_ELEMENTS(tables); i++) {
    GHashTableIter iter;
    gpointer label;
    g_hash_table_iter_init(&iter, tables[i]);
    while (g_hash_table_iter_next(&iter, &label, NULL))
      g_ptr_array_add(keys, g_strconcat(prefix, label, NULL));
  }
}

const MmGroupHolding *
mm_group_map_holding(const MmGroupMap *map, const char *label) {
  return g_hash_table_lookup(map->holdings, label);
}

MmKeyVersion
mm_group_map_key_version(const MmGroupMap *map, const char *label) {
  const MmGroupHolding *holding = mm_group_map_holding(map, label);
  const MmKeyVersion *malformed_version = g_hash_table_lookup(map->malformed, label);

  if (holding != NULL)
    return holding->version;
  return malformed_version != NULL ? *malformed_version : (MmKeyVersion){ 0 };
}

MmGroupOwner
mm_group_map_owner(const MmGroupMap *map, guint group) {
  return group < map->n_groups ? map->owners[group] : (MmGroupOwner){ NULL, { 0 } };
}

guint
mm_group_map_conflicting_count(const MmGroupMap *map) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, map->holdings);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (((const MmGroupHolding *)value)->n_groups != map->n_groups)
      return ((const MmGroupHolding *)value)->n_groups;
  return 0;
}

/* ---- a key's value under construction ---- */

struct MmGroupValue {
  guint n_groups;
  guint64 lease_id;
  MmTerm *terms; /* by group; 0: not listed */
};

MmGroupValue *
mm_group_value_new(guint n_groups, guint64 lease_id) {
  MmGroupValue *value = g_new0(MmGroupValue, 1);

  value->n_groups = n_groups;
  value->lease_id = lease_id;
  value->terms = g_new0(MmTerm, n_groups);
  return value;
}

void
mm_group_value_free(MmGroupValue *value) {
  g_free(value->terms);
  g_free(value);
}

void
mm_group_value_add(MmGroupValue *value, guint group, MmTerm term) {
  value->terms[group].v = MAX(value->terms[group].v, term.v);
}

typedef struct {
  MmGroupValue *value;
  const MmGroupSet *without;
  MmTerm term;
} GroupCopy;

static bool
copy_group(guint32 group, void *data) {
  const GroupCopy *copy = data;

  if (copy->without == NULL || !roaring_bitmap_contains(copy->without, group))
    mm_group_value_add(copy->value, group, copy->term);
  return true;
}

void
mm_group_value_add_all(MmGroupValue *value, const MmGroupHolding *holding,
                       const MmGroupSet *without) {
  for (guint i = 0; i < holding->grants->len; i++) {
    const MmGroupGrant *grant = g_ptr_array_index(holding->grants, i);
    GroupCopy copy = { value, without, grant->term };
    roaring_iterate(grant->groups, copy_group, &copy);
  }
}

void
mm_group_value_use_one_term(MmGroupValue *value, MmTerm term) {
  for (guint group = 0; group < value->n_groups; group++)
    if (value->terms[group].v != 0)
      value->terms[group] = term;
}

static void
append_term(json_t *grants, const MmGroupValue *value, MmTerm term) {
  g_autoptr(MmGroupSet) set = roaring_bitmap_create();
  g_autofree char *ranges = NULL;

  for (guint group = 0; group < value->n_groups; group++)
    if (value->terms[group].v == term.v)
      roaring_bitmap_add(set, group);
  ranges = mm_group_set_to_text(set);
  json_array_append_new(grants, json_pack("[I, s]", (json_int_t)term.v, ranges));
}

json_t *
mm_group_value_to_json(const MmGroupValue *value) {
  g_autoptr(GHashTable) written = g_hash_table_new(g_int64_hash, g_int64_equal);
  json_t *grants = json_array();

  for (guint group = 0; group < value->n_groups; group++) {
    if (value->terms[group].v == 0 || !g_hash_table_add(written, &value->terms[group].v))
      continue;
    append_term(grants, value, value->terms[group]);
  }
  return json_pack("{s:I, s:i, s:o}", FIELD_LEASE, (json_int_t)value->lease_id, FIELD_GROUP_COUNT,
                   (int)value->n_groups, FIELD_GRANTS, grants);
}

#include "sharing/group-map.h"

#include "base/json.h"
#include "base/log.h"
#include "config/operators.h"

/* JSON keys of an ownership record. */
#define FIELD_LEASE "c"
#define FIELD_GROUP_COUNT "of"
#define FIELD_ACQUISITIONS "g"

/* Parsing of ownership records. */

static void
group_acquisition_free(gpointer data) {
  MmGroupAcquisition *acquisition = data;

  roaring_bitmap_free(acquisition->groups);
  g_free(acquisition);
}

static void
ownership_record_free(gpointer data) {
  MmOwnershipRecord *record = data;

  g_ptr_array_unref(record->acquisitions);
  g_free(record);
}

/* Parses one acquisition, [term, "ranges"]. Returns NULL if the entry is malformed. */
static MmGroupAcquisition *
acquisition_from_json(const MmJson *entry, guint n_groups) {
  const MmJson *term = mm_json_array_get(entry, 0), *ranges = mm_json_array_get(entry, 1);
  MmGroupSet *set;
  MmGroupAcquisition *acquisition;

  if (!mm_json_is_count(term) || mm_json_count_value(term) <= 0 || !mm_json_is_string(ranges))
    return NULL;
  set = mm_group_set_from_text(mm_json_string_value(ranges), n_groups);
  if (set == NULL)
    return NULL;
  acquisition = g_new(MmGroupAcquisition, 1);
  *acquisition = (MmGroupAcquisition){ { (guint64)mm_json_count_value(term) }, set };
  return acquisition;
}

/* Parses the value of a node's key. Returns NULL if the value is malformed. */
static MmOwnershipRecord *
ownership_record_from_json(const char *label, const MmJson *value, MmKeyVersion version) {
  const MmJson *acquisitions = mm_json_get(value, FIELD_ACQUISITIONS);
  MmOwnershipRecord *record = g_new0(MmOwnershipRecord, 1);
  size_t i;
  MmJson *entry;

  record->node = mm_name(label);
  record->lease_id = mm_json_count(value, FIELD_LEASE, 0);
  record->version = version;
  record->n_groups = (guint)MIN(mm_json_count(value, FIELD_GROUP_COUNT, 0), G_MAXUINT);
  record->acquisitions = g_ptr_array_new_with_free_func(group_acquisition_free);
  if (record->lease_id == 0 || record->n_groups == 0 || record->n_groups > MM_GROUPS_MAX
      || !mm_json_is_array(acquisitions)) {
    ownership_record_free(record);
    return NULL;
  }
  MM_JSON_ARRAY_FOREACH (acquisitions, i, entry) {
    MmGroupAcquisition *acquisition = acquisition_from_json(entry, record->n_groups);
    if (acquisition == NULL) {
      ownership_record_free(record);
      return NULL;
    }
    g_ptr_array_add(record->acquisitions, acquisition);
  }
  return record;
}

/* The map. */

MmGroupMap *
mm_group_map_new(guint n_groups) {
  MmGroupMap *map = g_new0(MmGroupMap, 1);

  map->n_groups = n_groups;
  map->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, ownership_record_free);
  map->malformed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  map->owners = g_new0(MmGroupOwner, n_groups);
  return map;
}

void
mm_group_map_free(MmGroupMap *map) {
  g_hash_table_unref(map->records);
  g_hash_table_unref(map->malformed);
  g_free(map->owners);
  g_free(map);
}

typedef struct {
  MmGroupMap *map;
  const MmOwnershipRecord *record;
  MmTerm term;
} OwnerUpdate;

static bool
update_owner(guint32 group, void *data) {
  const OwnerUpdate *update = data;
  MmGroupOwner *owner = &update->map->owners[group];

  /* A group is in two records only if someone edited a key by hand. In that case, the record with
   * the later term is used. */
  if (update->term.v > owner->term.v)
    *owner = (MmGroupOwner){ update->record, update->term };
  return true;
}

/* Recomputes the owners of all groups. Records with a different number of groups are ignored, since
 * their group numbers have another meaning. */
static void
update_owners(MmGroupMap *map) {
  GHashTableIter iter;
  gpointer value;

  memset(map->owners, 0, map->n_groups * sizeof *map->owners);
  g_hash_table_iter_init(&iter, map->records);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const MmOwnershipRecord *record = value;
    for (guint i = 0; i < record->acquisitions->len && record->n_groups == map->n_groups; i++) {
      const MmGroupAcquisition *acquisition = g_ptr_array_index(record->acquisitions, i);
      OwnerUpdate update = { map, record, acquisition->term };
      roaring_iterate(acquisition->groups, update_owner, &update);
      map->newest_term.v = MAX(map->newest_term.v, acquisition->term.v);
    }
  }
}

static void
remove_record(MmGroupMap *map, const char *label) {
  g_hash_table_remove(map->records, label);
  g_hash_table_remove(map->malformed, label);
}

gboolean
mm_group_map_put(MmGroupMap *map, const char *label, const MmJson *value, MmKeyVersion version) {
  MmOwnershipRecord *record = ownership_record_from_json(label, value, version);

  remove_record(map, label);
  if (record != NULL) {
    g_hash_table_replace(map->records, g_strdup(label), record);
  } else {
    MmKeyVersion *malformed_version = g_new(MmKeyVersion, 1);
    *malformed_version = version;
    g_hash_table_replace(map->malformed, g_strdup(label), malformed_version);
    mm_error("machine group record malformed, its groups have no owner and get no grants node=%s",
             label);
  }
  update_owners(map);
  return record != NULL;
}

void
mm_group_map_remove(MmGroupMap *map, const char *label) {
  remove_record(map, label);
  update_owners(map);
}

void
mm_group_map_list_keys(const MmGroupMap *map, const char *prefix, GPtrArray *keys) {
  GHashTable *const tables[] = { map->records, map->malformed };

  for (guint i = 0; i < G_N_ELEMENTS(tables); i++) {
    GHashTableIter iter;
    gpointer label;
    g_hash_table_iter_init(&iter, tables[i]);
    while (g_hash_table_iter_next(&iter, &label, NULL))
      g_ptr_array_add(keys, g_strconcat(prefix, label, NULL));
  }
}

const MmOwnershipRecord *
mm_group_map_ownership_record(const MmGroupMap *map, const char *label) {
  return g_hash_table_lookup(map->records, label);
}

MmKeyVersion
mm_group_map_key_version(const MmGroupMap *map, const char *label) {
  const MmOwnershipRecord *record = mm_group_map_ownership_record(map, label);
  const MmKeyVersion *malformed_version = g_hash_table_lookup(map->malformed, label);

  if (record != NULL)
    return record->version;
  return malformed_version != NULL ? *malformed_version : (MmKeyVersion){ 0 };
}

MmGroupOwner
mm_group_map_owner(const MmGroupMap *map, guint group) {
  return group < map->n_groups ? map->owners[group] : (MmGroupOwner){ NULL, { 0 } };
}

guint
mm_group_map_conflicting_group_count(const MmGroupMap *map) {
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init(&iter, map->records);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (((const MmOwnershipRecord *)value)->n_groups != map->n_groups)
      return ((const MmOwnershipRecord *)value)->n_groups;
  return 0;
}

/* Builder of an ownership record's JSON. */

struct MmOwnershipRecordBuilder {
  guint n_groups;
  guint64 lease_id;
  MmTerm *terms; /* by group; 0: not listed */
};

MmOwnershipRecordBuilder *
mm_ownership_record_builder_new(guint n_groups, guint64 lease_id) {
  MmOwnershipRecordBuilder *builder = g_new0(MmOwnershipRecordBuilder, 1);

  builder->n_groups = n_groups;
  builder->lease_id = lease_id;
  builder->terms = g_new0(MmTerm, n_groups);
  return builder;
}

void
mm_ownership_record_builder_free(MmOwnershipRecordBuilder *builder) {
  g_free(builder->terms);
  g_free(builder);
}

void
mm_ownership_record_builder_add(MmOwnershipRecordBuilder *builder, guint group, MmTerm term) {
  builder->terms[group].v = MAX(builder->terms[group].v, term.v);
}

typedef struct {
  MmOwnershipRecordBuilder *builder;
  const MmGroupSet *without;
  MmTerm term;
} GroupCopy;

static bool
copy_group(guint32 group, void *data) {
  const GroupCopy *copy = data;

  if (copy->without == NULL || !roaring_bitmap_contains(copy->without, group))
    mm_ownership_record_builder_add(copy->builder, group, copy->term);
  return true;
}

void
mm_ownership_record_builder_add_all(MmOwnershipRecordBuilder *builder,
                                    const MmOwnershipRecord *record, const MmGroupSet *without) {
  for (guint i = 0; i < record->acquisitions->len; i++) {
    const MmGroupAcquisition *acquisition = g_ptr_array_index(record->acquisitions, i);
    GroupCopy copy = { builder, without, acquisition->term };
    roaring_iterate(acquisition->groups, copy_group, &copy);
  }
}

void
mm_ownership_record_builder_set_all_terms(MmOwnershipRecordBuilder *builder, MmTerm term) {
  for (guint group = 0; group < builder->n_groups; group++)
    if (builder->terms[group].v != 0)
      builder->terms[group] = term;
}

static void
append_acquisition(MmJson *acquisitions, const MmOwnershipRecordBuilder *builder, MmTerm term) {
  g_autoptr(MmGroupSet) set = roaring_bitmap_create();
  g_autofree char *ranges = NULL;

  for (guint group = 0; group < builder->n_groups; group++)
    if (builder->terms[group].v == term.v)
      roaring_bitmap_add(set, group);
  ranges = mm_group_set_to_text(set);
  mm_json_array_append(acquisitions, mm_json_pack("[I, s]", term.v, ranges));
}

MmJson *
mm_ownership_record_builder_to_json(const MmOwnershipRecordBuilder *builder) {
  g_autoptr(GHashTable) written_terms = g_hash_table_new(g_int64_hash, g_int64_equal);
  MmJson *acquisitions = mm_json_new_array();

  for (guint group = 0; group < builder->n_groups; group++) {
    if (builder->terms[group].v == 0 || !g_hash_table_add(written_terms, &builder->terms[group].v))
      continue;
    append_acquisition(acquisitions, builder, builder->terms[group]);
  }
  return mm_json_pack("{s:I, s:i, s:o}", FIELD_LEASE, builder->lease_id, FIELD_GROUP_COUNT,
                      (int)builder->n_groups, FIELD_ACQUISITIONS, acquisitions);
}

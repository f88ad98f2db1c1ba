/* Tests of machine groups that need no nodes: sets of groups and their text form, the map of
 * owners, shares and moves. */
#include "base/json.h"
#include "config/operators.h"
#include "sharing/group-map.h"
#include "sharing/shares.h"

#define GROUPS 256
#define SMALL_VALUE_BYTES 2048

static void
test_machines_hash_evenly(void) {
  guint machines_in_group[GROUPS] = { 0 };
  guint max_machines = 0;

  /* The hash must never change: nodes of different versions must agree on it. */
  g_assert_cmpuint(mm_group_of_machine("m-000231", GROUPS), ==, 239);
  g_assert_cmpuint(mm_group_of_machine("", GROUPS), <, GROUPS);
  g_assert_cmpuint(mm_group_of_machine("m-000231", 1), ==, 0);
  for (guint i = 0; i < 6000; i++) {
    g_autofree char *name = g_strdup_printf("m-%06u", i);
    machines_in_group[mm_group_of_machine(name, GROUPS)]++;
  }
  /* The mean is 23.4 machines per group: consecutive names must spread as evenly as any others. */
  for (guint group = 0; group < GROUPS; group++) {
    g_assert_cmpuint(machines_in_group[group], >, 0);
    max_machines = MAX(max_machines, machines_in_group[group]);
  }
  g_assert_cmpuint(max_machines, <, 50);
}

static void
test_group_sets_round_trip(void) {
  static const char *const valid[] = { "", "0", "0-3,7", "5-6,8-255" };
  static const char *const invalid[]
      = { "256", "3-1", "a", "1,", ",1", "1-", "-1", "1 2", "1--2", "99999999999999999999" };
  g_autoptr(GRand) rand = g_rand_new_with_seed(3);

  for (guint i = 0; i < G_N_ELEMENTS(valid); i++) {
    g_autoptr(MmGroupSet) set = mm_group_set_from_text(valid[i], GROUPS);
    g_autofree char *text = mm_group_set_to_text(set);
    g_assert_cmpstr(text, ==, valid[i]);
  }
  for (guint i = 0; i < G_N_ELEMENTS(invalid); i++)
    g_assert_null(mm_group_set_from_text(invalid[i], GROUPS));
  for (guint round = 0; round < 200; round++) {
    g_autoptr(MmGroupSet) set = roaring_bitmap_create(), parsed = NULL;
    g_autofree char *text = NULL;
    for (gint n = g_rand_int_range(rand, 0, 300); n > 0; n--)
      roaring_bitmap_add(set, (guint32)g_rand_int_range(rand, 0, GROUPS));
    text = mm_group_set_to_text(set);
    parsed = mm_group_set_from_text(text, GROUPS);
    g_assert_true(roaring_bitmap_equals(set, parsed));
  }
}

static MmJson *
ownership_record_json(guint groups, guint64 lease, guint from, guint to, guint64 term) {
  g_autoptr(MmOwnershipRecordBuilder) builder = mm_ownership_record_builder_new(groups, lease);

  for (guint group = from; group < to; group++)
    mm_ownership_record_builder_add(builder, group, (MmTerm){ term });
  return mm_ownership_record_builder_to_json(builder);
}

static const char *
owner_label(const MmGroupMap *map, guint group) {
  MmGroupOwner owner = mm_group_map_owner(map, group);

  return owner.record != NULL ? owner.record->node.s : NULL;
}

static void
test_map_names_owners(void) {
  MmGroupMap *map = mm_group_map_new(GROUPS);
  g_autoptr(MmJson) a = ownership_record_json(GROUPS, 7, 0, 100, 3),
                    b = ownership_record_json(GROUPS, 8, 100, 256, 4);
  g_autoptr(MmJson) with_later_term = ownership_record_json(GROUPS, 9, 0, 1, 9);

  g_assert_true(mm_group_map_put(map, "n-0", a, (MmKeyVersion){ 11 }));
  g_assert_true(mm_group_map_put(map, "n-1", b, (MmKeyVersion){ 12 }));
  g_assert_cmpstr(owner_label(map, 0), ==, "n-0");
  g_assert_cmpstr(owner_label(map, 255), ==, "n-1");
  g_assert_cmpuint(mm_group_map_owner(map, 99).term.v, ==, 3);
  g_assert_cmpuint(mm_group_map_key_version(map, "n-1").v, ==, 12);
  /* Only a manual edit can list a group in two keys. Such a group belongs to the key with the
   * later term, in whichever order the keys arrive. */
  g_assert_true(mm_group_map_put(map, "n-2", with_later_term, (MmKeyVersion){ 13 }));
  g_assert_cmpstr(owner_label(map, 0), ==, "n-2");
  g_assert_true(mm_group_map_put(map, "n-0", a, (MmKeyVersion){ 14 }));
  g_assert_cmpstr(owner_label(map, 0), ==, "n-2");
  mm_group_map_remove(map, "n-2");
  g_assert_cmpstr(owner_label(map, 0), ==, "n-0");
  mm_group_map_free(map);
}

static void
test_other_group_count_conflicts(void) {
  MmGroupMap *map = mm_group_map_new(GROUPS);
  g_autoptr(MmJson) a = ownership_record_json(GROUPS, 7, 0, 100, 3),
                    other = ownership_record_json(128, 9, 0, 1, 9);

  g_assert_true(mm_group_map_put(map, "n-0", a, (MmKeyVersion){ 11 }));
  /* A key that names a different number of groups makes its node the owner of no group, and the map
   * reports the conflict. */
  g_assert_cmpuint(mm_group_map_conflicting_group_count(map), ==, 0);
  g_assert_true(mm_group_map_put(map, "n-0", other, (MmKeyVersion){ 15 }));
  g_assert_null(owner_label(map, 0));
  g_assert_cmpuint(mm_group_map_conflicting_group_count(map), ==, 128);
  mm_group_map_free(map);
}

static void
test_malformed_values_are_refused(void) {
  static const char *const invalid[] = { "{}",
                                         "[]",
                                         "{\"c\":1,\"of\":256}",
                                         "{\"c\":0,\"of\":256,\"g\":[]}",
                                         "{\"c\":1,\"of\":100000,\"g\":[]}",
                                         "{\"c\":1,\"of\":256,\"g\":[[0,\"1\"]]}",
                                         "{\"c\":1,\"of\":256,\"g\":[[5,\"1-\"]]}",
                                         "{\"c\":1,\"of\":256,\"g\":[[5,\"256\"]]}",
                                         "{\"c\":1,\"of\":256,\"g\":[[5]]}",
                                         "{\"c\":1,\"of\":256,\"g\":[7]}" };
  MmGroupMap *map = mm_group_map_new(GROUPS);
  g_autoptr(MmJson) valid = ownership_record_json(GROUPS, 7, 0, 100, 3);

  for (guint i = 0; i < G_N_ELEMENTS(invalid); i++) {
    g_autoptr(MmJson) value = mm_json_parse(invalid[i], strlen(invalid[i]), NULL);
    g_assert_true(mm_group_map_put(map, "n-0", valid, (MmKeyVersion){ 1 }));
    g_assert_false(mm_group_map_put(map, "n-0", value, (MmKeyVersion){ 21 }));
    g_assert_null(owner_label(map, 0));
    g_assert_cmpuint(g_hash_table_size(map->malformed), ==, 1);
    /* The node replaces its malformed key, and needs the version of that key to do so. */
    g_assert_cmpuint(mm_group_map_key_version(map, "n-0").v, ==, 21);
  }
  g_assert_true(mm_group_map_put(map, "n-0", valid, (MmKeyVersion){ 22 }));
  g_assert_cmpuint(g_hash_table_size(map->malformed), ==, 0);
  mm_group_map_free(map);
}

/* A node's key must fit into the smallest value limit even if the node acquired its groups one by
 * one, each under a term of its own. To save space, the key then lists all groups under one
 * term. */
static void
test_value_fits_smallest_limit(void) {
  g_autoptr(MmOwnershipRecordBuilder) builder = mm_ownership_record_builder_new(MM_GROUPS_MAX, 1);
  g_autoptr(MmJson) with_many_terms = NULL, with_one_term = NULL;

  for (guint group = 0; group < MM_GROUPS_MAX; group += 2)
    mm_ownership_record_builder_add(builder, group, (MmTerm){ 100000 + group });
  with_many_terms = mm_ownership_record_builder_to_json(builder);
  g_assert_cmpuint(mm_json_text_length(with_many_terms), >, SMALL_VALUE_BYTES);
  mm_ownership_record_builder_set_all_terms(builder, (MmTerm){ 200000 });
  with_one_term = mm_ownership_record_builder_to_json(builder);
  g_assert_cmpuint(mm_json_text_length(with_one_term), <, SMALL_VALUE_BYTES);
}

/* Shares. */

#define NODES_MAX 31

static guint
random_shares(GRand *rand, MmShare *shares, guint groups) {
  guint n = (guint)g_rand_int_range(rand, 1, NODES_MAX + 1);
  guint left = groups;

  for (guint i = 0; i < n; i++) {
    shares[i].weight = g_rand_double(rand) < 0.2 ? 0 : g_rand_double_range(rand, 0.1, 5);
    shares[i].owned = i + 1 < n ? (guint)g_rand_int_range(rand, 0, (gint)left + 1) : left;
    left -= shares[i].owned;
  }
  return n;
}

static void
check_targets(const MmShare *shares, const guint *targets, guint n, guint groups) {
  double total = 0;
  guint sum = 0;

  for (guint i = 0; i < n; i++)
    total += shares[i].weight;
  for (guint i = 0; i < n; i++) {
    double exact = total > 0 ? shares[i].weight / total * groups : (double)groups / n;
    g_assert_cmpfloat(ABS(targets[i] - exact), <, 1);
    if (total > 0 && shares[i].weight == 0)
      g_assert_cmpuint(targets[i], ==, 0);
    sum += targets[i];
  }
  g_assert_cmpuint(sum, ==, groups);
}

/* Checks that, without slack, the targets are reached by the fewest possible moves and that no
 * further moves are made. */
static void
check_moves(MmShare *shares, const guint *targets, guint n) {
  guint needed_moves = 0, made_moves = 0;
  MmShareMove move;

  for (guint i = 0; i < n; i++)
    needed_moves += shares[i].owned > targets[i] ? shares[i].owned - targets[i] : 0;
  while (mm_shares_next_move(shares, targets, n, 0, &move)) {
    g_assert_cmpuint(move.from, !=, move.to);
    g_assert_cmpuint(shares[move.from].owned, >, 0);
    shares[move.from].owned--;
    shares[move.to].owned++;
    made_moves++;
  }
  g_assert_cmpuint(made_moves, ==, needed_moves);
  for (guint i = 0; i < n; i++)
    g_assert_cmpuint(shares[i].owned, ==, targets[i]);
}

static void
test_random_shares_converge(void) {
  g_autoptr(GRand) rand = g_rand_new_with_seed(5);

  for (guint round = 0; round < 2000; round++) {
    guint groups = (guint)g_rand_int_range(rand, 1, MM_GROUPS_MAX + 1);
    MmShare shares[NODES_MAX];
    guint targets[NODES_MAX];
    guint n = random_shares(rand, shares, groups);

    mm_shares_targets(shares, n, groups, targets);
    check_targets(shares, targets, n, groups);
    check_moves(shares, targets, n);
    /* Once the targets are reached, they stay the same, so that no group moves back. */
    mm_shares_targets(shares, n, groups, targets);
    for (guint i = 0; i < n; i++)
      g_assert_cmpuint(shares[i].owned, ==, targets[i]);
  }
}

static void
test_small_imbalance_stays(void) {
  MmShare within_slack[] = { { 1, 88 }, { 1, 84 }, { 1, 84 } },
          beyond_slack[] = { { 1, 100 }, { 1, 84 }, { 1, 72 } };
  MmShare with_zero_weight[] = { { 0, 2 }, { 1, 127 }, { 1, 127 } };
  guint targets[3];
  MmShareMove move;

  mm_shares_targets(within_slack, 3, GROUPS, targets);
  g_assert_false(mm_shares_next_move(within_slack, targets, 3, 4, &move));
  mm_shares_targets(beyond_slack, 3, GROUPS, targets);
  g_assert_true(mm_shares_next_move(beyond_slack, targets, 3, 4, &move));
  g_assert_cmpuint(move.from, ==, 0);
  g_assert_cmpuint(move.to, ==, 2);
  /* A node of weight 0 releases its last groups even if the imbalance is within the slack. */
  mm_shares_targets(with_zero_weight, 3, GROUPS, targets);
  g_assert_true(mm_shares_next_move(with_zero_weight, targets, 3, 4, &move));
  g_assert_cmpuint(move.from, ==, 0);
}

static void
test_free_groups_go_below_shares(void) {
  MmShare shares[] = { { 1, 3 }, { 2, 0 }, { 1, 0 } };
  guint targets[3] = { 0 };

  g_assert_cmpuint(mm_shares_next_acquirer(shares, targets, 0), ==, G_MAXUINT);
  mm_shares_targets(shares, 3, 8, targets);
  for (guint left = 5; left > 0; left--)
    shares[mm_shares_next_acquirer(shares, targets, 3)].owned++;
  g_assert_cmpuint(shares[0].owned, ==, 3);
  g_assert_cmpuint(shares[1].owned, ==, 4);
  g_assert_cmpuint(shares[2].owned, ==, 1);
}

int
main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/sharing/machines-hash-evenly", test_machines_hash_evenly);
  g_test_add_func("/sharing/group-sets-round-trip", test_group_sets_round_trip);
  g_test_add_func("/sharing/map-names-owners", test_map_names_owners);
  g_test_add_func("/sharing/other-group-count-conflicts", test_other_group_count_conflicts);
  g_test_add_func("/sharing/malformed-values-are-refused", test_malformed_values_are_refused);
  g_test_add_func("/sharing/value-fits-smallest-limit", test_value_fits_smallest_limit);
  g_test_add_func("/sharing/random-shares-converge", test_random_shares_converge);
  g_test_add_func("/sharing/small-imbalance-stays", test_small_imbalance_stays);
  g_test_add_func("/sharing/free-groups-go-below-shares", test_free_groups_go_below_shares);
  return g_test_run();
}

#include "sharing/shares.h"

static double
total_weight(const MmShare *shares, guint n_nodes) {
  double total = 0;

  for (guint i = 0; i < n_nodes; i++)
    total += shares[i].weight;
  return total;
}

/* Returns whether node `a` takes precedence over node `b` when a remaining group is assigned. */
static gboolean
has_precedence(const MmShare *shares, const double *remainders, guint a, guint b) {
  if (remainders[a] != remainders[b])
    return remainders[a] > remainders[b];
  if (shares[a].owned != shares[b].owned)
    return shares[a].owned > shares[b].owned;
  return a < b;
}

void
mm_shares_targets(const MmShare *shares, guint n_nodes, guint n_groups, guint *targets) {
  double total = total_weight(shares, n_nodes);
  g_autofree double *remainders = g_new0(double, MAX(n_nodes, 1));
  guint unassigned = n_groups;

  for (guint i = 0; i < n_nodes; i++) {
    double fraction = total > 0 ? shares[i].weight / total : 1.0 / n_nodes;
    double exact = fraction * n_groups;
    targets[i] = (guint)exact;
    /* Nodes of weight 0 get none of the remaining groups. */
    remainders[i] = fraction > 0 ? exact - targets[i] : -1;
    unassigned -= targets[i];
  }
  while (unassigned > 0 && n_nodes > 0) {
    guint first = 0;
    for (guint i = 1; i < n_nodes; i++)
      if (has_precedence(shares, remainders, i, first))
        first = i;
    targets[first]++;
    remainders[first] = -1;
    unassigned--;
  }
}

static gint
surplus(const MmShare *shares, const guint *targets, guint node_index) {
  return (gint)shares[node_index].owned - (gint)targets[node_index];
}

gboolean
mm_shares_next_move(const MmShare *shares, const guint *targets, guint n_nodes, guint slack,
                    MmShareMove *move) {
  guint from = 0, to = 0;
  gboolean must_leave;

  for (guint i = 1; i < n_nodes; i++) {
    if (surplus(shares, targets, i) > surplus(shares, targets, from))
      from = i;
    if (surplus(shares, targets, i) < surplus(shares, targets, to))
      to = i;
  }
  if (n_nodes < 2 || surplus(shares, targets, from) <= 0 || surplus(shares, targets, to) >= 0)
    return FALSE;
  must_leave = targets[from] == 0;
  if (!must_leave && surplus(shares, targets, from) <= (gint)slack
      && -surplus(shares, targets, to) <= (gint)slack)
    return FALSE;
  *move = (MmShareMove){ from, to };
  return TRUE;
}

guint
mm_shares_next_acquirer(const MmShare *shares, const guint *targets, guint n_nodes) {
  guint acquirer = n_nodes > 0 ? 0 : G_MAXUINT;

  for (guint i = 1; i < n_nodes; i++)
    if (surplus(shares, targets, i) < surplus(shares, targets, acquirer))
      acquirer = i;
  return acquirer;
}

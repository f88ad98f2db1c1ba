/* Text of a settings file in TOML for tests. The program must ignore the unknown key
 * `not_known_yet`. */
#pragma once

static const char sample_settings[]
    = "label = \"n-0\"\nzone = \"a\"\nfront = \"127.0.0.1:8080\"\n"
      "cluster_listen = \"127.0.0.1:8081\"\nnot_known_yet = 4\n"
      "[[others]]\nlabel = \"n-1\"\nzone = \"b\"\nendpoint = \"127.0.0.1:8082\"\n"
      "[external]\ncloud = \"127.0.0.1:9001\"\nstate = \"127.0.0.1:9002\"\n"
      "[settings]\ncount = 2\nzones = [\"a\", \"b\"]\nskew_ms = 100.0\n"
      "[[settings.teams]]\nname = \"red\"\ncpus = 4.0\ncpus_max = 8.0\ngpus = 0.0\ngpus_max = 0.0\n"
      "[[settings.objectives]]\nkind = \"wait\"\nclass = \"web\"\nwithin_s = 2.0\nshare = 0.9\n"
      "[settings.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 20.0\ngang_peer_s = 4.0\n"
      "cancel_s = 30.0\n"
      "[settings.state]\nrps = 100.0\nwrite_rps = 20.0\nvalue_kb = 4.0\ntxn_ops = 12\n"
      "[settings.cloud]\nrps = 5.0\nlist_lag_s = 5.0\n"
      "[settings.resources]\ncpu = 0.05\nram_mb = 64.0\nmax_sockets = 500\n";

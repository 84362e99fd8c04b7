# Defaults for keys and blocks that an experiment does not set: the values of the installation genbrug-moebler. From a
# pair [low, high], each simulated day draws a value. The types in src/spec describe the values; src/spec/reader.rs maps
# the keys to them.

length_s    = 45
large_slots = 4

fleet {
  workers     = [10, 14]
  dispatchers = [3, 5]
  zones       = 3
  rack        = [3, 5]

  kind "gen3" {
    share          = 0.24
    cores          = 4
    speed          = [1.4, 1.8]
    speed_cv       = [0.045, 0.18]
    slots_per_core = [1, 1.3]
    queue_per_core = [4.5, 9.5]
    cold_share     = [0.15, 0.35]
    warm_s         = [11, 19]
    errors         = [0, 0.002]
  }
  kind "gen2" {
    share          = 0.43
    cores          = 4
    speed          = [0.85, 1.1]
    speed_cv       = [0.031, 0.23]
    slots_per_core = 1
    queue_per_core = [4.5, 8]
    cold_share     = [0.14, 0.35]
    warm_s         = [12, 22]
    errors         = [0, 0.003]
  }
  kind "gen1" {
    share          = 0.33
    cores          = 4
    speed          = [0.51, 0.69]
    speed_cv       = [0.089, 0.22]
    slots_per_core = [1, 1.3]
    queue_per_core = [4.6, 9.4]
    cold_share     = [0.16, 0.28]
    warm_s         = [10, 24]
    errors         = [0, 0.001]
  }
}

connections {
  same_zone_ms       = [0.087, 0.34]
  cross_zone_ms      = [10, 20]
  jitter             = [0.082, 0.29]
  handshake_rtts     = [1, 2]
  handshake_ms       = [1.6, 3]
  idle_s             = 5
  connect_timeout_ms = 250
  most_per_core      = [600, 900]
}

traffic {
  load             = [0.37, 0.59]
  swing            = [0.15, 0.36]
  stream_cv        = [0.6, 1.4]
  skew             = [0.3, 0.9]
  quota            = [0.7, 0.83]
  over_share_worth = 0.1

  class "stock-lookup" {
    share      = [0.55, 0.83]
    work_ms    = [310, 600]
    dist       = "pareto"
    cv         = [1.5, 2.8]
    noise      = [0.16, 0.55]
    slots      = { 1 = 1 }
    aim_ms     = 400
    stretch    = 2
    patience_s = 5
    worth      = 5
    late_worth = 0.2
    repeat     = "safe"
  }
  class "reserve-item" {
    share      = [0.14, 0.22]
    work_ms    = [620, 1200]
    dist       = "pareto"
    cv         = [1.7, 2.6]
    noise      = [0.22, 0.58]
    slots      = { 1 = 0.8, 2 = 0.2 }
    aim_ms     = 250
    stretch    = 2
    patience_s = 10
    worth      = 8
    late_worth = 0.2
    repeat     = "rack"
    window_s   = 15
  }
  class "book-delivery" {
    share      = [0.1, 0.16]
    work_ms    = [620, 1200]
    dist       = "lognormal"
    cv         = [1.5, 2.6]
    noise      = [0.12, 0.55]
    slots      = { 1 = 0.6, 2 = 0.25, 4 = 0.15 }
    aim_ms     = 750
    stretch    = 2
    patience_s = 10
    worth      = 3
    late_worth = 0.25
    repeat     = "rack"
    window_s   = 15
  }

  tenant "havnegade" {
    share = 0.38
    usage = [0.51, 1.2]
  }
  tenant "skovvej" {
    share = 0.33
    usage = [0.54, 1.3]
  }
  tenant "moellebakken" {
    share = 0.29
    usage = [0.55, 1.4]
  }
}

clients {
  retry         = [0, 1]
  honour        = [0.8, 1]
  backoff_ms    = [8.8, 73]
  retry_after_s = 2
  impatient     = [0.02, 0.06]
}

discovery {
  notice_s = [1.7, 5]
  silent_s = [4.5, 13]
  add_s    = [0.25, 1.8]
  period_s = [0.19, 1.4]
  spread_s = [0.029, 0.12]
}

rules {
  drain_grace_s    = 0.5
  answer_slack_s   = 0.05
  cold_share       = 0.14
  warm_s           = 24
  fall_multiple    = 3
  fall_s           = 1.5
  attempts         = 4
  cross_zone_price = 0.025
}

trouble "hang" {
  length_s = [6.3, 20]
  part     = [0.053, 0.17]
}
trouble "neighbour" {
  length_s = [15, 40]
  part     = [0.15, 0.45]
  size     = [0.34, 0.62]
  extra_s  = [1.3, 4.8]
}
trouble "burst" {
  length_s = [2.9, 7.9]
  size     = [1.4, 2.2]
}
trouble "deploy" {
  length_s = [21, 38]
  part     = [0.41, 0.98]
  size     = [0.082, 0.19]
  extra_s  = [2.6, 6]
}
trouble "restarts" {
  length_s = [11, 28]
  part     = [0.57, 0.92]
  size     = [0.057, 0.3]
  extra_s  = [0.24, 1.5]
}

# An experiment with every possible key; the values differ from the defaults in base.hcl.
experiment "every-key" {
  about       = "every key of an experiment, once or more"
  length_s    = 20
  large_slots = 2

  fleet {
    workers     = [7, 9]
    dispatchers = [2, 3]
    zones       = 2
    rack        = [2, 3]

    kind "fast" {
      share          = 2
      cores          = 4
      speed          = [1.3, 1.5]
      speed_cv       = [0.05, 0.1]
      slots_per_core = [1, 1.2]
      queue_per_core = [3, 5]
      cold_share     = [0.2, 0.3]
      warm_s         = [6, 9]
      errors         = [0.01, 0.02]
    }
    kind "slow" {
      share          = 1
      cores          = 2
      speed          = [0.6, 0.7]
      speed_cv       = [0.1, 0.2]
      slots_per_core = [2, 2.2]
      queue_per_core = [2, 4]
      cold_share     = [0.1, 0.2]
      warm_s         = [7, 11]
      errors         = [0.02, 0.03]
    }
  }

  connections {
    same_zone_ms       = [0.2, 0.4]
    cross_zone_ms      = [5, 7]
    jitter             = [0.1, 0.2]
    handshake_rtts     = [1.5, 2.5]
    handshake_ms       = [1, 2]
    idle_s             = 3
    connect_timeout_ms = 200
    most_per_core      = [300, 400]
  }

  traffic {
    load             = [0.5, 0.6]
    swing            = [0.1, 0.2]
    stream_cv        = [0.8, 1.2]
    skew             = [0.2, 0.4]
    quota            = [0.6, 0.8]
    over_share_worth = 0.3

    class "safe" {
      share      = [0.3, 0.4]
      work_ms    = [200, 300]
      dist       = "pareto"
      cv         = [1.2, 1.4]
      noise      = [0.1, 0.2]
      slots      = { 1 = 0.9, 2 = 0.1 }
      aim_ms     = 300
      stretch    = 1.5
      patience_s = 4
      worth      = 2
      late_worth = 0.3
      repeat     = "safe"
      window_s   = 5
    }
    class "rack" {
      share      = [0.2, 0.3]
      work_ms    = [300, 400]
      dist       = "lognormal"
      cv         = [1.1, 1.3]
      noise      = [0.2, 0.3]
      slots      = { 1 = 0.6, 2 = 0.4 }
      aim_ms     = 400
      stretch    = 2
      patience_s = 6
      worth      = 4
      late_worth = 0.1
      repeat     = "rack"
      window_s   = 10
    }
    class "zone" {
      share      = 0.2
      work_ms    = [250, 350]
      dist       = "exponential"
      aim_ms     = 350
      patience_s = 5
      repeat     = "zone"
      window_s   = 8
    }
    class "all" {
      share      = 0.1
      work_ms    = [250, 350]
      aim_ms     = 350
      patience_s = 5
      repeat     = "all"
      window_s   = 9
    }
    class "unsafe" {
      share      = 0.1
      work_ms    = [250, 350]
      aim_ms     = 350
      patience_s = 5
      repeat     = "unsafe"
    }

    tenant "first" {
      share = 0.7
      usage = [0.8, 1.1]
    }
    tenant "second" {
      share = 0.3
      usage = [0.9, 1.3]
    }
  }

  clients {
    retry         = [0.4, 0.6]
    honour        = [0.5, 0.7]
    backoff_ms    = [20, 40]
    retry_after_s = 1.5
    impatient     = [0.05, 0.1]
  }

  discovery {
    notice_s = [1, 2]
    silent_s = [3, 4]
    add_s    = [0.5, 1]
    period_s = [0.2, 0.4]
    spread_s = [0.05, 0.1]
  }

  rules {
    drain_grace_s    = 0.4
    answer_slack_s   = 0.06
    cold_share       = 0.1
    warm_s           = 11
    fall_multiple    = 2.5
    fall_s           = 1.2
    attempts         = 3
    cross_zone_price = 0.03
  }

  trouble "hang" {
    length_s = [4, 6]
    part     = [0.2, 0.3]
  }
  trouble "neighbour" {
    length_s = [6, 9]
    part     = [0.3, 0.4]
    size     = [0.3, 0.5]
    extra_s  = [1, 2]
  }
  trouble "burst" {
    length_s = [3, 4]
    size     = [1.5, 1.9]
  }
  trouble "deploy" {
    length_s = [8, 10]
    part     = [0.6, 0.8]
    size     = [0.2, 0.3]
    extra_s  = [1, 2]
  }
  trouble "restarts" {
    length_s = [6, 9]
    part     = [0.6, 0.9]
    size     = [0.3, 0.5]
    extra_s  = [0.3, 0.9]
  }
  trouble "crash" {
    length_s = [5, 8]
    part     = [0.3, 0.5]
    size     = [0.2, 0.4]
    extra_s  = [0.5, 1]
  }

  case "silent" {
    load     = [0.5, 0.6]
    troubles = ["hang", "neighbour"]
  }
  case "crowded" {
    load     = [0.7, 0.8]
    troubles = ["burst", "crash"]
  }
  case "moving" {
    troubles = ["deploy", "restarts"]
  }

  arm "module" {
    router        = "cairncrank"
    quota         = 1.2
    attempts      = 2
    clock_error_s = 1.5
    copies        = false
    room {
      from_slots = 2
      price      = 8
    }
  }
  arm "plain" {
    router = "cairncrank"
  }
  arm "random" {
    router = "random"
  }
  arm "round-robin" {
    router = "round-robin"
  }
  arm "least-outstanding" {
    router = "least-outstanding"
  }
  arm "power-of-two" {
    router = "power-of-two"
  }
  arm "oracle" {
    router = "oracle"
  }
}

# A fifth of the jobs, which have half of the work, need four slots: all the slots of most workers.
experiment "large-jobs" {
  about    = "20 % four-slot jobs at 0.6, 0.75 and 0.9 load: effect of reserved workers on large and small jobs"
  length_s = 60

  traffic {
    class "stock-lookup" {
      share      = 0.55
      work_ms    = [310, 600]
      dist       = "pareto"
      cv         = [1.5, 2.8]
      noise      = [0.16, 0.55]
      aim_ms     = 400
      stretch    = 2
      patience_s = 5
      worth      = 5
      late_worth = 0.2
      repeat     = "safe"
    }
    class "reserve-item" {
      share      = 0.2
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
      share      = 0.25
      work_ms    = [620, 1200]
      dist       = "lognormal"
      cv         = [1.5, 2.6]
      noise      = [0.12, 0.55]
      slots      = { 1 = 0.2, 4 = 0.8 }
      aim_ms     = 750
      stretch    = 2
      patience_s = 10
      worth      = 3
      late_worth = 0.25
      repeat     = "rack"
      window_s   = 15
    }
  }

  case "0.60" {
    load = 0.6
  }
  case "0.75" {
    load = 0.75
  }
  case "0.90" {
    load = 0.9
  }

  arm "room-off" {
    router = "cairncrank"
  }
  arm "room-on" {
    router = "cairncrank"
    room {
      from_slots = 4
      price      = 16
    }
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

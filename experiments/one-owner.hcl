# One holder for each lease, under faults of processes and links; with real coordinators and lightweight members:
#   emulator run experiments/one-owner.hcl --seed 1 --seeds 20 --at-once 3 --out results
experiment "one-owner" {
  about     = "At most one lease holder at a time under any fault; the next holder within seconds."
  drive     = "fleet"
  length_s  = 20
  calm_s    = 6
  between_s = 3

  times {
    short_ms = 3000
  }

  arm "three" {
    keepers = 3
    members = 8
  }

  # Lease holders that are paused in the middle of an operation and resumed.
  arm "pauses" {
    keepers = 3
    members = 8
    faults  = "stop-owner stop-owner stop-owner-asking"
  }

  arm "five" {
    keepers = 5
    members = 8
  }
}

# Who owns a duty, with processes and faults between them. Played with real keepers and light members:
#   emulator run experiments/one-owner.hcl --seed 1 --seeds 20 --at-once 3 --out results
experiment "one-owner" {
  about     = "At most one owner at a time, whatever fails; the next owner within seconds."
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

  # Owners that are stopped in the middle of what they do, and go on.
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

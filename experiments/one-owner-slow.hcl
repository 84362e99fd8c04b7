# Like one-owner.hcl, on a network with 200 ms of delay each way and timeouts that allow for it.
#   emulator run experiments/one-owner-slow.hcl --seed 1 --seeds 6 --at-once 6 --out results
experiment "one-owner-slow" {
  about     = "Every link delayed by 200 ms each way, one connection in twenty reset, lease holders killed meanwhile."
  drive     = "fleet"
  length_s  = 30
  calm_s    = 12
  between_s = 6

  times {
    lease_ms     = 5000
    renew_ms     = 1200
    call_ms      = 2000
    stay_ms      = 2000
    short_ms     = 4000
    election_ms  = 2000
    heartbeat_ms = 400
  }

  arm "slow" {
    keepers = 3
    members = 8
    faults  = "slow-net slow-net kill-owner stop-leader"
  }
}

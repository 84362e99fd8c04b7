# A cluster experiment (drive = "fleet") with every possible key.
experiment "every-key-of-a-fleet" {
  about     = "every key, once or more"
  drive     = "fleet"
  length_s  = 21
  calm_s    = 6.5
  between_s = 2.5

  times {
    lease_ms     = 2400
    renew_ms     = 450
    call_ms      = 900
    stay_ms      = 5500
    short_ms     = 6500
    election_ms  = 700
    heartbeat_ms = 110
    skew_ppm     = 1200
  }

  arm "all" {
    keepers = 3
    members = 7
  }
  arm "some" {
    keepers = 5
    members = 9
    faults  = "all none kill-owner slow-net twin"
  }
}

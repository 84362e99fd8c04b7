# Cost of the emulator and of the decision module on a large fleet.
experiment "scale" {
  about    = "A hundred and fifty times the fleet: 2,000 workers, 200 dispatchers, a million jobs"
  length_s = 165

  fleet {
    workers     = 2000
    dispatchers = 200
    zones       = 3
    rack        = 40
  }
  case "steady" {
    load = 0.6
  }
  arm "cairncrank" {
    router = "cairncrank"
  }
}

# Slow-start limit: the load that all dispatchers together put on workers in slow start, while half of the fleet is replaced
# and dispatchers restart at the same time. Evaluated by the emulated workers' records alone.
experiment "cold-300" {
  about    = "Workers in slow start, 300 dispatchers"
  length_s = 60

  fleet {
    workers     = 200
    dispatchers = 300
  }
  case "deploy" {
    load     = [0.52, 0.66]
    troubles = ["deploy", "restarts"]
  }
  arm "cairncrank" {
    router = "cairncrank"
  }
  # A router without slow start: the rule checker must find violations.
  arm "round-robin" {
    router = "round-robin"
  }
}

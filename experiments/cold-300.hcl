# The bound of the slow start: what all dispatchers together send to workers that just started, while half of the fleet is
# replaced and dispatchers restart at the same time. Judged by the stand-in workers' records alone.
experiment "cold-300" {
  about    = "Workers that just started, 300 dispatchers"
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
  # A router that knows nothing of cold workers: the check has to find it.
  arm "round-robin" {
    router = "round-robin"
  }
}

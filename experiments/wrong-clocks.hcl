# Clocks of half of the dispatchers are wrong. This matters because dispatchers compute the time slices of slow start
# and the age of workers from Unix time.
#   emulator run experiments/wrong-clocks.hcl --seed 1 --seeds 40 --out results
experiment "wrong-clocks" {
  about = "Every second dispatcher's clock is ahead by 2 s, and by an hour, on days with workers in slow start"

  case "deploy" {
    load     = [0.52, 0.66]
    troubles = ["deploy"]
  }
  case "restarts" {
    load     = [0.52, 0.66]
    troubles = ["restarts"]
  }

  arm "right" {
    router = "cairncrank"
  }
  arm "2-s" {
    router        = "cairncrank"
    clock_error_s = 2
  }
  arm "an-hour" {
    router        = "cairncrank"
    clock_error_s = 3600
  }
}

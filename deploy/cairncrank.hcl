# Local settings for this installation, beside the platform's. Everything here has a default.

# Capacity reservation for large jobs, see docs/operate/large-jobs.md. Off: it gains in the emulator, not yet on the bench.
room {
  hold       = false
  from_slots = 4
  price      = 16
}

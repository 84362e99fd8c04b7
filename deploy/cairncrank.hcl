# Local settings of this installation, read in addition to the platform's configuration. All keys have defaults.

# Capacity reservation for large jobs, see docs/operate/large-jobs.md. It is off, because it improves the results in the
# emulator but not yet on the bench.
room {
  hold       = false
  from_slots = 4
  price      = 16
}

# Our own settings for this installation, beside the platform's. Everything here has a default.

# Room for large jobs, see docs/operate/large-jobs.md. Off: measured better in the lab, not yet on the bench.
room {
  hold       = false
  from_slots = 4
  price      = 16
}

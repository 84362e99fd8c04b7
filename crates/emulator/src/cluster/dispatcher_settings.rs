//! The JSON configuration of the dispatchers that harnesses start.

use std::time::Duration;

use serde_json::{json, Value};

use super::worker_model::{INITIAL_CAPACITY, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, WARM_UP};

/// A class of jobs.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobClass {
    pub name: &'static str,
    /// Whether a job may be executed more than once.
    pub is_idempotent: bool,
    pub latency_objective: Duration,
    pub timeout: Duration,
}

/// Settings of a cluster's dispatchers that differ between harnesses.
#[derive(Debug, Clone)]
pub(super) struct DispatcherSettings<'a> {
    pub dispatchers: usize,
    pub zones: &'a [&'a str],
    pub classes: &'a [JobClass],
    /// Quota of the only tenant, in slots per second.
    pub quota_per_s: f64,
    /// Whether dispatchers may probe workers.
    pub probes: bool,
    /// Time until a worker has its full capacity, in seconds.
    pub warm_up_s: f64,
}

impl Default for DispatcherSettings<'_> {
    fn default() -> Self {
        DispatcherSettings {
            dispatchers: 1,
            zones: &["north", "south", "west"],
            classes: &[],
            quota_per_s: 100.0,
            probes: false,
            warm_up_s: WARM_UP.as_secs_f64(),
        }
    }
}

impl DispatcherSettings<'_> {
    /// Returns the configuration without names and addresses.
    pub(super) fn to_json(&self) -> Value {
        let classes = self.classes.iter().map(|class| {
            json!({
                "name": class.name,
                "idempotency": if class.is_idempotent { "free" } else { "single_shot" },
                "promise-s": class.latency_objective.as_secs_f64(),
                "deadline-s": class.timeout.as_secs_f64(),
                "late-worth": 0.2,
            })
        });
        json!({
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "azs": self.zones, "flavors": ["small"], "balancers": self.dispatchers, "slot-no": 0, "zone": 0,
                "discovery": "push", "resolution-s": 0.001,
                "profiles": classes.collect::<Vec<Value>>(),
                "projects": [{"name": "web", "share": 1.0, "quota-per-s": self.quota_per_s}],
                "caps": {"cancel": true, "dial-timeout-s": 0.25, "keepalive-s": 5.0, "max-retry-after-s": 2.0,
                         "parallel-tries": true, "probes": self.probes, "retry-after": true, "send-cap": 4},
                "family-info": {"tells-start": true, "class-stretch": vec![2.0; self.classes.len()],
                                "class-kind": vec![-1; self.classes.len()]},
                "clients": {"marks-retry": false},
                "obligations": {"ask-within-s": 0.0, "cold-share": INITIAL_CAPACITY, "drain-grace-s": 0.5,
                                "fall-multiple": OVERLOAD_MULTIPLE,
                                "tip-after-s": OVERLOAD_WINDOW.as_secs_f64(), "warm-within-s": self.warm_up_s},
                "charges": {"cross-zone": 0.025}
            }
        })
    }
}

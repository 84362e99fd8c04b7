//! The configuration file of a small deployment, with the settings of the site genbrug-moebler.

use std::net::SocketAddr;

/// Memory limit of the dispatcher in MB, the highest of the days that count.
pub const MEMORY_MB: u64 = 192;

/// A class, with the effect that the case gives it.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`.
    pub effect: &'static str,
    /// The workers that drop a repeat: `all`, `zone` or `cell`; `None` leaves the key out of the file.
    pub key_scope: Option<&'static str>,
    pub promise_s: f64,
    pub deadline_s: f64,
    pub window_s: f64,
}

/// Returns the classes of the site.
pub fn site_classes() -> Vec<Class> {
    let class = |name, effect, key_scope, promise_s, deadline_s, window_s| Class {
        name,
        effect,
        key_scope: Some(key_scope),
        promise_s,
        deadline_s,
        window_s,
    };
    vec![
        class("stock-lookup", "free", "all", 0.4, 5.0, 5.0),
        class("reserve-item", "guarded", "cell", 0.25, 10.0, 15.0),
        class("book-delivery", "guarded", "cell", 0.75, 10.0, 15.0),
    ]
}

/// Returns the classes of the site after a change of the one with this name.
pub fn site_classes_with(name: &str, change: impl Fn(&mut Class)) -> Vec<Class> {
    let mut classes = site_classes();
    classes.iter_mut().filter(|class| class.name == name).for_each(change);
    classes
}

fn class_json(class: &Class) -> String {
    let scope = class.key_scope.map_or(String::new(), |scope| format!("\"key-scope\":\"{scope}\","));
    format!(
        "{{\"name\":\"{}\",\"idempotency\":\"{}\",{scope}\"window-s\":{},\"promise-s\":{},\"deadline-s\":{},\
         \"late-worth\":0.2,\"importance\":5.0,\"streamed\":false}}",
        class.name, class.effect, class.window_s, class.promise_s, class.deadline_s
    )
}

/// Returns the text of the configuration file.
pub fn config(listen: SocketAddr, discovery: SocketAddr, classes: &[Class]) -> String {
    let stretch = vec!["2.0"; classes.len()].join(",");
    let kinds = vec!["-1"; classes.len()].join(",");
    let classes: Vec<String> = classes.iter().map(class_json).collect();
    let classes = classes.join(",");
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":1024}},
"known":{{"revision":0,"complete":true,"members":[]}},
"settings":{{"azs":["aarhus-dc","odense-dc","aalborg-dc"],"flavors":["gen3","gen2","gen1"],"balancers":1,"slot-no":0,
"zone":0,"tier":0,"tiers":["shop-backend"],"discovery":"push","family":"jobs","resolution-s":0.005,"weight-kind":"rough",
"counted-by":"work","over-share-worth":0.1,"clients":{{"marks-retry":true}},
"profiles":[{classes}],
"projects":[{{"name":"havnegade","share":0.38,"quota-per-s":14.0}},{{"name":"skovvej","share":0.33,"quota-per-s":12.0}},
{{"name":"moellebakken","share":0.29,"quota-per-s":10.0}}],
"caps":{{"cancel":true,"dial-timeout-s":0.25,"keepalive-s":5.0,"max-retry-after-s":2.0,"max-streams":1,
"parallel-tries":true,"probes":false,"retry-after":true,"send-cap":4,"may-tell":false}},
"family-info":{{"tells-start":true,"progress-s":1.0,"class-stretch":[{stretch}],"class-kind":[{kinds}],
"queue-order":"fifo"}},
"obligations":{{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-share":0.14,"drain-grace-s":0.5,"fall-multiple":3.0,
"tip-after-s":1.5,"warm-within-s":24.0}},
"report":{{"how":"none","names":[]}},
"charges":{{"connection":0.05,"cross-zone":0.025,"handshake":0.05,"late-fail":0.076,"waste":0.016}}}}}}
"#
    )
}

//! The ownership protocol in every order of events, as it is and with each flaw.

use cairncrank_duty::Flaw;
use cairncrank_lab::fleet::model::{search, Bounds};

#[test]
fn the_protocol_holds_and_each_flaw_is_found() {
    let bounds = Bounds { messages: 2, ..Bounds::default() };
    let sound = search(None, bounds, 2);
    assert_eq!(sound.broken, None);
    assert!(sound.handed_over, "no hand-over within the bounds would mean that nothing was checked");
    assert_eq!(Flaw::names().len(), 4);
    for (name, flaw) in Flaw::names() {
        assert!(search(Some(*flaw), bounds, 2).broken.is_some(), "{name} was not found");
    }
}

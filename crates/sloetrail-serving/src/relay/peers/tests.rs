use super::PeerState;
use tokio::time::Instant;

#[test]
fn the_peer_that_helped_first_is_kept_until_it_fails() {
    let mut state = PeerState::default();
    assert!(state.note_carried("a"));
    assert!(!state.note_carried("b"), "a call that was under way");
    assert!(!state.note_failed("b", Instant::now()));
    assert_eq!(state.current.as_deref(), Some("a"));
    assert!(state.note_failed("a", Instant::now()));
    assert!(state.note_carried("b"));
}

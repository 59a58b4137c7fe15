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

#[test]
fn a_node_that_two_peers_leave_without_an_answer_is_cut_off_until_one_answers() {
    let mut state = PeerState::default();
    assert!(!state.are_silent(), "nobody has been asked");
    state.note_silence();
    assert!(!state.are_silent(), "one peer may be frozen or gone");
    state.note_silence();
    assert!(state.are_silent());
    state.note_answered();
    assert!(!state.are_silent());
}

#[test]
fn silence_from_before_the_table_was_back_counts_no_more() {
    let mut state = PeerState::default();
    state.note_silence();
    state.note_silence();
    state.note_carried("a");
    assert_eq!(state.note_direct().as_deref(), Some("a"));
    assert!(!state.are_silent(), "the next outage may strike everybody");
    assert_eq!(state.note_direct(), None);
}

//! Requests under which back ends crash.
//!
//! Guards against a request that returns under new ids and at other nodes and crashes further
//! back ends each time: the limit on crashes holds across all nodes and repeats, not only within
//! one try.

mod support;

use sloetrail_quarantine::TRIAL_DELAY;
use sloetrail_serving_testkit::cluster::eventually;
use std::time::Duration;
use support::fragile::{FragileCluster, LETHAL, MAX_CRASHES, REQUEST_QUARANTINED};

/// Time in which a caller disconnects from a back end that is about to crash.
const TIME_UNTIL_CRASH: Duration = Duration::from_millis(300);

#[tokio::test(flavor = "multi_thread")]
async fn a_request_repeated_at_any_node_crashes_few_back_ends() {
    let mut fragile = FragileCluster::start(4).await;
    for number in 0..12 {
        let node = number % 4;
        let id = format!("again-{number}");
        let crashes = fragile.crash_count();
        let answer = fragile.send_request(node, "/live/x", &id, LETHAL).await;
        if crashes >= 3 {
            assert_eq!(answer.status, 503, "try {number}: {}", answer.text());
            assert_eq!(fragile.runs_of(&id), 0, "a refused request was run");
        }
        if fragile.crash_count() > crashes {
            fragile.wait_crashes_reported().await;
        }
        fragile.replace_crashed().await;
    }
    let crashes = fragile.crash_count();
    assert!(crashes <= MAX_CRASHES, "{crashes} back ends crashed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantined_request_is_refused_with_a_long_retry_delay() {
    let mut fragile = FragileCluster::start(2).await;
    fragile.crash_three("/live/x").await;
    fragile.wait_crashes_reported().await;
    for node in 0..2 {
        let answer = fragile.send_request(node, "/live/x", "held", LETHAL).await;
        assert_eq!(answer.json()["code"], REQUEST_QUARANTINED);
        assert_eq!(answer.json()["kind"], "not_run");
        let retry_after = answer.headers["retry-after"].to_str().expect("a text");
        let retry_after: f64 = retry_after.parse().expect("a time");
        assert!(
            retry_after > 3_000.0,
            "{retry_after} s is not close to an hour"
        );
        assert!(
            !answer.text().contains(LETHAL),
            "the answer contains the request body"
        );
    }
    assert_eq!(fragile.runs_of("held"), 0);
}

/// One culprit at each of twelve nodes in turn, then at all at once: no back end crashes after
/// the third crash is known.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_repeats_of_a_quarantined_request_crash_no_back_end() {
    let mut fragile = FragileCluster::start(12).await;
    let mut by_node = vec![0; 12];
    for (node, crashes_there) in by_node.iter_mut().enumerate() {
        let before = fragile.crash_count();
        let id = format!("round-{node}");
        fragile.send_request(node, "/live/x", &id, LETHAL).await;
        *crashes_there = fragile.crash_count() - before;
        if *crashes_there > 0 {
            fragile.wait_crashes_reported().await;
        }
        fragile.replace_crashed().await;
    }
    println!("crashed back ends by node: {by_node:?}");
    let crashes = fragile.crash_count();
    assert!(crashes <= MAX_CRASHES, "{crashes}: {by_node:?}");
    let all =
        (0..12).map(|node| fragile.start_request(node, "/live/x", &format!("all-{node}"), LETHAL));
    let answers = futures_util::future::join_all(all).await;
    for answer in answers {
        assert_eq!(
            answer.expect("an answer").json()["code"],
            REQUEST_QUARANTINED
        );
    }
    assert_eq!(fragile.crash_count(), crashes);
}

#[tokio::test(flavor = "multi_thread")]
async fn innocent_requests_are_served_after_a_culprits_crashes() {
    let mut fragile = FragileCluster::start(3).await;
    let mut was_answered = [false; 6];
    for round in 0..3 {
        let innocent = (0..6).map(|number| {
            let id = format!("beside-{round}-{number}");
            fragile.start_request(number % 3, "/live/x", &id, &format!("reading {number}"))
        });
        let id = format!("culprit-{round}");
        let culprit = fragile.send_request(round, "/live/x", &id, LETHAL);
        let (answers, _) = futures_util::join!(futures_util::future::join_all(innocent), culprit);
        for (was_answered, answer) in was_answered.iter_mut().zip(answers) {
            *was_answered = answer.is_some_and(|answer| answer.status == 200);
        }
        fragile.replace_crashed().await;
    }
    for (number, was_answered) in was_answered.into_iter().enumerate() {
        for node in 0..3 {
            let id = format!("after-{number}-{node}");
            let body = format!("reading {number}");
            let mut answer = fragile.send_request(node, "/live/x", &id, &body).await;
            if !was_answered && answer.json()["code"] == REQUEST_QUARANTINED {
                // It may have met the same crashes as the culprit, which only a trial tells apart.
                tokio::time::sleep(TRIAL_DELAY).await;
                answer = fragile.send_request(node, "/live/x", &id, &body).await;
            }
            assert_eq!(answer.status, 200, "{id}: {}", answer.text());
        }
    }
    fragile.wait_quarantined(0, "/live/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unrelated_crashes_and_resets_quarantine_no_request() {
    let mut fragile = FragileCluster::start(2).await;
    for round in 0..4 {
        let engines = fragile.cluster.engines.clone();
        let sound: Vec<_> = engines
            .iter()
            .filter(|engine| !engine.has_crashed())
            .collect();
        for engine in &sound {
            engine.set_event_interval(Duration::from_millis(60));
        }
        let asking = (0..8).map(|number| {
            let id = format!("sound-{round}-{number}");
            fragile.start_request(number % 2, "/live/x", &id, &format!("reading {number}"))
        });
        let crashing = async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            sound[0].crash();
            sound[1].reset_connections();
        };
        let (answers, ()) = futures_util::join!(futures_util::future::join_all(asking), crashing);
        for answer in answers {
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 200, "round {round}: {}", answer.text());
        }
        fragile.replace_crashed().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_after_the_caller_disconnects_counts() {
    let mut fragile = FragileCluster::start(1).await;
    for number in 0..8 {
        if fragile.crash_count() >= 3 {
            break;
        }
        let engines = fragile.cluster.engines.iter();
        engines.for_each(|engine| engine.set_event_interval(TIME_UNTIL_CRASH));
        let id = format!("leaves-{number}");
        let crashes = fragile.crash_count();
        let asking = fragile.start_request(0, "/once/x", &id, LETHAL);
        let running = eventually("the request runs", || async {
            (fragile.runs_of(&id) > 0).then_some(())
        });
        tokio::select! {
            biased;
            answer = asking => panic!("answered before the caller disconnected: {:?}", answer.map(|it| it.status)),
            () = running => {}
        }
        eventually("the back end crashes", || async {
            (fragile.crash_count() > crashes).then_some(())
        })
        .await;
        fragile.try_each_back_end(0).await;
        fragile.wait_crashes_reported().await;
        fragile.replace_crashed().await;
    }
    let crashes = fragile.crash_count();
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes}");
    let answer = fragile.send_request(0, "/once/x", "stays", LETHAL).await;
    assert_eq!(answer.json()["code"], REQUEST_QUARANTINED);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantined_series_request_is_refused() {
    let mut fragile = FragileCluster::start(2).await;
    fragile.crash_three("/events/x").await;
    fragile.wait_quarantined(0, "/events/x").await;
    fragile.wait_quarantined(1, "/events/x").await;
    let crashes = fragile.crash_count();
    for number in 0..6 {
        let id = format!("series-{number}");
        let answer = fragile
            .send_request(number % 2, "/events/x", &id, LETHAL)
            .await;
        assert_eq!(answer.json()["code"], REQUEST_QUARANTINED);
    }
    assert_eq!(fragile.crash_count(), crashes);
    assert!(crashes <= MAX_CRASHES, "{crashes}");
}

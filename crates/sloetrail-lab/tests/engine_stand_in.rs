//! The engine stand-in behaves as the brief's engines do.

use http::StatusCode;
use http_body_util::Full;
use sloetrail_clients::{
    ChunkStream, EngineClient, GenerateRequest, HttpClient, Order, OrderCommand, OrderOutcome,
    Priority,
};
use sloetrail_history::EventBody;
use sloetrail_lab::history_log::HistoryLog;
use sloetrail_lab::standins::engine::{
    CacheChange, EngineKind, EngineSettings, FakeEngine, KvState, PrefixCache,
};
use sloetrail_types::{EngineId, Epoch, RequestId, ServiceName, WeightVersion};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(10);

async fn engine() -> FakeEngine {
    engine_that_records(HistoryLog::in_memory()).await
}

async fn engine_that_records(history: HistoryLog) -> FakeEngine {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = EngineSettings::assumed(
        EngineId::from("engine"),
        ServiceName::from("vision-lm"),
        EngineKind::Model,
        any,
    );
    FakeEngine::start(any, settings, history, 1)
        .await
        .expect("the engine starts")
}

fn request(id: &str, resume_tokens: Vec<u32>) -> GenerateRequest {
    GenerateRequest {
        request: RequestId::from(id),
        prompt: "read the dial".to_owned(),
        token_limit: 400,
        priority: Priority::Sample,
        resume_tokens,
    }
}

async fn start(engine: &FakeEngine, request: &GenerateRequest) -> ChunkStream {
    let client = EngineClient::new(HttpClient::new());
    let stream = client.generate(engine.address(), request).await;
    stream.expect("the engine takes it")
}

async fn order(engine: &FakeEngine, epoch: u64, command: OrderCommand) -> OrderOutcome {
    let order = Order {
        order: format!("order-{epoch}"),
        epoch: Epoch(epoch),
        command,
    };
    let client = EngineClient::new(HttpClient::new());
    let outcome = client.order(engine.address(), &order, WAIT).await;
    outcome.expect("the engine answers")
}

async fn call(engine: &FakeEngine, method: &str, path: &str, body: String) -> (StatusCode, String) {
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", engine.address()))
        .header("content-type", "application/json")
        .body(Full::new(bytes::Bytes::from(body)))
        .expect("sound");
    let answer = HttpClient::new().fetch(request, WAIT, 1_048_576).await;
    let answer = answer.expect("the engine answers");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    (answer.status, text)
}

#[tokio::test]
async fn a_resumed_generation_goes_on_after_the_tokens_given() {
    let engine = engine().await;
    let mut stream = start(&engine, &request("whole", Vec::new())).await;
    let mut tokens = Vec::new();
    while let Some(chunk) = stream.next().await.expect("a chunk") {
        assert_eq!(chunk.first_token as usize, tokens.len());
        tokens.extend(chunk.tokens);
    }
    let (given, rest) = tokens.split_at(10);
    let mut stream = start(&engine, &request("rest", given.to_vec())).await;
    let mut resumed = Vec::new();
    while let Some(chunk) = stream.next().await.expect("a chunk") {
        resumed.extend(chunk.tokens);
    }
    assert_eq!(resumed, rest);
}

#[tokio::test]
async fn the_end_of_a_text_is_recorded_with_its_number_of_tokens() {
    let history = HistoryLog::in_memory();
    let engine = engine_that_records(history.clone()).await;
    let mut stream = start(&engine, &request("whole", Vec::new())).await;
    let mut tokens = Vec::new();
    while let Some(chunk) = stream.next().await.expect("a chunk") {
        tokens.extend(chunk.tokens);
    }
    let mut resumed = start(&engine, &request("rest", tokens[..10].to_vec())).await;
    while resumed.next().await.expect("a chunk").is_some() {}
    let events = history.events();
    let ends = events.iter().filter_map(|event| match &event.body {
        EventBody::TextEnded { prompt, tokens, .. } => Some((prompt.as_str(), *tokens as usize)),
        _ => None,
    });
    let whole = ("read the dial", tokens.len());
    assert_eq!(ends.collect::<Vec<_>>(), [whole, whole]);
}

#[tokio::test]
async fn a_cancelled_stream_frees_its_place() {
    let engine = engine().await;
    let stream = start(&engine, &request("cancelled", Vec::new())).await;
    drop(stream);
    let deadline = Instant::now() + WAIT;
    while engine.load() > 0 {
        assert!(Instant::now() < deadline, "the place is freed in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn orders_of_an_older_epoch_are_refused() {
    let engine = engine().await;
    assert_eq!(
        order(&engine, 5, OrderCommand::Drain).await,
        OrderOutcome::Done
    );
    let late = order(&engine, 4, OrderCommand::Resume).await;
    assert_eq!(late, OrderOutcome::StaleEpoch(Epoch(5)));
    let client = EngineClient::new(HttpClient::new());
    let request = request("late", Vec::new());
    let refused = client.generate(engine.address(), &request).await;
    assert!(refused.is_err_and(|error| error.is_not_executed()));
}

#[tokio::test]
async fn a_state_moves_only_to_the_same_weights() {
    let engine = engine().await;
    let mut stream = start(&engine, &request("node/1", Vec::new())).await;
    stream.next().await.expect("a chunk");
    let (status, text) = call(&engine, "GET", "/v1/kv/node/1", String::new()).await;
    assert_eq!(status, StatusCode::OK, "{text}");
    let mut state: KvState = serde_json::from_str(&text).expect("a state");
    assert!(state.next_token > 0);
    let body = serde_json::to_string(&state).expect("plain data");
    let (status, _) = call(&engine, "POST", "/v1/kv", body).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    state.version = WeightVersion(2);
    let body = serde_json::to_string(&state).expect("plain data");
    let (status, _) = call(&engine, "POST", "/v1/kv", body).await;
    assert_eq!(status, StatusCode::CONFLICT);
    let (status, _) = call(&engine, "GET", "/v1/kv/none", String::new()).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn cache_events_come_late_with_gaps_and_the_cache_is_bounded() {
    let mut cache = PrefixCache::new(1);
    assert!(!cache.use_prefix("prompt-0"));
    assert!(cache.use_prefix("prompt-0"));
    for index in 1..300 {
        cache.use_prefix(&format!("prompt-{index}"));
    }
    assert!(cache.events_after(0).is_empty(), "too early");
    let deadline = Instant::now() + WAIT;
    let last = 300 + 44;
    while !cache
        .events_after(0)
        .iter()
        .any(|event| event.sequence >= last - 5)
    {
        assert!(Instant::now() < deadline, "published in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let events = cache.events_after(0);
    let evicted = events
        .iter()
        .filter(|event| event.change == CacheChange::Evicted);
    assert!(evicted.count() > 30, "the oldest go");
    assert!(events.len() < last as usize, "some are lost");
    assert!(
        events
            .windows(2)
            .all(|pair| pair[0].sequence < pair[1].sequence)
    );
}

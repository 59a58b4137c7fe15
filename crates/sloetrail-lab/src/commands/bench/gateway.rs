//! The node's gateway against a bare pass-through, on the same back end.

use crate::fleet::{LocalFleet, Profile, ProfileName};
use crate::history_log::HistoryLog;
use crate::standins::Served;
use crate::workload::{ApplyResult, apply_file};
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use sloetrail_clients::{HttpClient, Machine, MachineRole, MachineState, REQUEST_ID_HEADER};
use sloetrail_config::Bounds;
use sloetrail_node::messages::ApplyRequest;
use sloetrail_types::ApplyId;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const CONNECTIONS: usize = 64;
const ROUNDS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(5);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const GOAL_SHARE: f64 = 0.5;

pub(super) fn command() -> Command {
    Command::new("gateway")
        .about("Requests a second and added latency of the gateway, beside a bare pass-through")
        .after_help("Example: sloetrail-lab bench gateway --seconds 5")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("5")
                .help("Length of each of the rounds"),
        )
}

#[derive(Clone, Debug, Serialize)]
struct Measured {
    what: &'static str,
    requests_per_second: f64,
    p50_us: u64,
    p99_us: u64,
    failures: u64,
}

pub(super) async fn run(matches: &ArgMatches) -> ExitCode {
    let seconds: u64 = *matches.get_one("seconds").expect("it has a default");
    match measure(Duration::from_secs(seconds)).await {
        Ok(share) if share >= GOAL_SHARE => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("bench gateway: {reason}");
            ExitCode::FAILURE
        }
    }
}

/// Measures in turns, so that what else the machine does strikes all alike, and
/// returns the gateway's share of the pass-through's throughput.
async fn measure(during: Duration) -> Result<f64, String> {
    let back_end = serve_echo().await.map_err(|error| error.to_string())?;
    let pass_through = serve_pass_through(back_end.address()).await;
    let pass_through = pass_through.map_err(|error| error.to_string())?;
    let fleet = start_node(back_end.address()).await?;
    let node = fleet.nodes()[0].http_address();
    let targets = [
        ("back end", back_end.address(), "/app/guide"),
        ("pass-through", pass_through.address(), "/app/guide"),
        ("gateway", node, "/services/guide-app/app/guide"),
    ];
    let mut best: Vec<Measured> = Vec::new();
    for round in 0..ROUNDS {
        for (place, (what, address, path)) in targets.into_iter().enumerate() {
            let measured = load(what, address, path, during).await;
            println!("{}", serde_json::to_string(&measured).expect("plain data"));
            match round {
                0 => best.push(measured),
                _ if measured.requests_per_second > best[place].requests_per_second => {
                    best[place] = measured;
                }
                _ => {}
            }
        }
    }
    fleet.stop().await;
    let share = best[2].requests_per_second / best[1].requests_per_second;
    println!(
        "gateway reaches {share:.2} of the pass-through's throughput; added p50 {} us, p99 {} us over it (best of {ROUNDS} rounds)",
        best[2].p50_us as i64 - best[1].p50_us as i64,
        best[2].p99_us as i64 - best[1].p99_us as i64,
    );
    Ok(share)
}

/// A back end that repeats the request's id and sends a short body.
async fn serve_echo() -> std::io::Result<Served> {
    let answer = |request: Request| async move {
        let mut response = Response::new(Body::from("schedule"));
        if let Some(id) = request.headers().get(REQUEST_ID_HEADER) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
        }
        response
    };
    let status = axum::routing::get(|| async {
        axum::Json(serde_json::json!({
            "engine": "echo", "service": "guide-app", "state": "serving", "version": 1,
            "loaded": [1], "running": 0, "queued": 0, "capacity": 4096, "epoch": 1
        }))
    });
    let router = Router::new().route("/v1/status", status).fallback(answer);
    Served::start(SocketAddr::from(([127, 0, 0, 1], 0)), router).await
}

type PassClient = Client<HttpConnector, Body>;

#[derive(Clone)]
struct PassThrough {
    client: PassClient,
    target: SocketAddr,
}

/// Passes requests on with nothing but hyper-util's client.
async fn serve_pass_through(target: SocketAddr) -> std::io::Result<Served> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let state = PassThrough { client, target };
    let router = Router::new().fallback(pass).with_state(state);
    Served::start(SocketAddr::from(([127, 0, 0, 1], 0)), router).await
}

async fn pass(State(state): State<PassThrough>, mut request: Request) -> Response {
    let uri = format!("http://{}{}", state.target, request.uri());
    *request.uri_mut() = uri.parse().expect("an address and a path");
    match state.client.request(request).await {
        Ok(response) => response.map(Body::new),
        Err(_) => {
            let mut response = Response::new(Body::empty());
            *response.status_mut() = http::StatusCode::BAD_GATEWAY;
            response
        }
    }
}

/// One node of a one-zone deployment, with the back end on its list.
async fn start_node(back_end: SocketAddr) -> Result<LocalFleet, String> {
    let mut profile = Profile::of(ProfileName::Oyelaran);
    profile.zones.truncate(1);
    profile.model.count = 0;
    profile.application.count = 0;
    profile.text = "version = 1\n[[zone]]\nname = \"ikeja-hall\"\n[[service]]\nname = \"guide-app\"\n\
        kind = \"application\"\nsamplers = 1\nengine_concurrency = 4096\n";
    let mut fleet = LocalFleet::start(profile.clone(), HistoryLog::in_memory(), 1)
        .await
        .map_err(|error| error.to_string())?;
    fleet.platform.machines.add(Machine {
        id: "echo".to_owned(),
        role: MachineRole::Engine,
        zone: profile.zones[0].clone(),
        service: Some(profile.application.service.clone()),
        address: back_end,
        gossip_address: None,
        state: MachineState::Live,
    });
    let added = fleet.add_node(profile.zones[0].clone(), Bounds::default());
    added.await.map_err(|error| error.to_string())?;
    apply_to_fleet(&fleet, profile.text).await?;
    Ok(fleet)
}

/// Applies a file and waits until every node serves the application under it.
pub(super) async fn apply_to_fleet(fleet: &LocalFleet, text: &str) -> Result<(), String> {
    let request = ApplyRequest {
        apply: ApplyId::from("bench"),
        file: "bench.toml".to_owned(),
        text: text.to_owned(),
        base_revision: None,
    };
    let mut random = StdRng::seed_from_u64(1);
    let entry = fleet.book.any(&mut random).ok_or("there is no node")?;
    let http = HttpClient::new();
    let (book, history) = (&fleet.book, &fleet.history);
    match apply_file(&http, book, history, &entry, &request, &mut random).await {
        ApplyResult::Accepted(_) => {}
        other => return Err(format!("the apply ended as {other:?}")),
    }
    for entry in fleet.book.all() {
        until_served(entry.address).await?;
    }
    Ok(())
}

async fn until_served(node: SocketAddr) -> Result<(), String> {
    let http = HttpClient::new();
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if get(&http, node, "/services/guide-app/app/guide").await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err("the node did not serve in time".to_owned())
}

async fn get(http: &HttpClient, address: SocketAddr, path: &str) -> bool {
    let request = http::Request::get(format!("http://{address}{path}"))
        .body(Full::<Bytes>::default())
        .expect("lab paths are sound");
    let answer = http.fetch(request, TIMEOUT, 65_536).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

fn new_histogram() -> Histogram<u64> {
    let highest = TIMEOUT.as_micros() as u64;
    Histogram::new_with_bounds(1, highest, 3).expect("the bounds are sound")
}

/// Closed-loop load on a number of connections.
async fn load(
    what: &'static str,
    address: SocketAddr,
    path: &'static str,
    during: Duration,
) -> Measured {
    let end = Instant::now() + during;
    let mut tasks = Vec::new();
    for _ in 0..CONNECTIONS {
        tasks.push(tokio::spawn(async move {
            let http = HttpClient::new();
            let mut times = new_histogram();
            let mut failures = 0;
            while Instant::now() < end {
                let started = Instant::now();
                match get(&http, address, path).await {
                    true => times.saturating_record(started.elapsed().as_micros() as u64),
                    false => failures += 1,
                }
            }
            (times, failures)
        }));
    }
    let mut all = new_histogram();
    let mut failures = 0;
    for task in tasks {
        let (times, failed) = task.await.expect("load does not panic");
        all.add(times).expect("the same shape");
        failures += failed;
    }
    Measured {
        what,
        requests_per_second: all.len() as f64 / during.as_secs_f64(),
        p50_us: all.value_at_quantile(0.5),
        p99_us: all.value_at_quantile(0.99),
        failures,
    }
}

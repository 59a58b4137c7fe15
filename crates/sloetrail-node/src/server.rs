//! The HTTP server: bounds on connections and heads, and an end that cuts
//! nothing off.

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use sloetrail_config::Bounds;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Serves until cancelled; then lets open exchanges end.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    bounds: Bounds,
    cancel: CancellationToken,
) {
    let connections = Arc::new(Semaphore::new(bounds.connection_limit));
    let graceful = GracefulShutdown::new();
    let builder = connection_builder(&bounds);
    loop {
        let permit = Arc::clone(&connections).acquire_owned().await;
        let Ok(permit) = permit else { break };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cancel.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let connection = serve_connection(&builder, &graceful, stream, router.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await;
}

fn connection_builder(bounds: &Bounds) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.request_read_timeout)
        .max_buf_size(bounds.header_limit_bytes);
    builder
}

fn serve_connection(
    builder: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    router: Router,
) -> impl Future<Output = ()> + 'static {
    // Small answers must not wait for more data.
    let _ = stream.set_nodelay(true);
    let connection = builder
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router))
        .into_owned();
    let watched = graceful.watch(connection);
    async move {
        // A broken connection concerns only its caller.
        let _ = watched.await;
    }
}

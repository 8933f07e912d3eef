//! Starts a stand-in backend server until it is interrupted.

use azurenotch_test_support::backend::{Behaviour, Cold, Server};
use bpaf::Bpaf;
use snafu::{ResultExt, Whatever};
use std::{net::SocketAddr, time::Duration};

/// Stand-in for a backend server with adjustable behaviour.
#[derive(Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on; port 0 lets the operating system choose
    #[bpaf(argument("ADDR"), fallback(([127, 0, 0, 1], 9090).into()), display_fallback)]
    listen: SocketAddr,
    /// Release label
    #[bpaf(argument("LABEL"), fallback("1".into()), display_fallback)]
    release: String,
    /// Number of requests that run at once
    #[bpaf(argument("N"), fallback(9), display_fallback)]
    slots: usize,
    /// Time until an answer starts, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    latency: u64,
    /// Largest random addition to the latency, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    jitter: u64,
    /// Share of requests from 0 to 1 that fail
    #[bpaf(argument("SHARE"), fallback(0.0), display_fallback)]
    errors: f64,
    /// Number of first requests that are slow
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    cold_requests: u64,
    /// Time after the start during which requests are slow, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    cold_time: u64,
    /// Addition to the latency of a slow request, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    cold_extra: u64,
    /// Seed of jitter and errors
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

#[tokio::main]
#[snafu::report]
async fn main() -> Result<(), Whatever> {
    let arguments = arguments().run();
    let behaviour = Behaviour {
        release: arguments.release.into(),
        slots: arguments.slots,
        latency: Duration::from_millis(arguments.latency),
        jitter: Duration::from_millis(arguments.jitter),
        error_share: arguments.errors,
        cold: Cold {
            requests: arguments.cold_requests,
            time: Duration::from_millis(arguments.cold_time),
            extra: Duration::from_millis(arguments.cold_extra),
        },
        seed: arguments.seed,
        ..Behaviour::default()
    };
    let server = Server::bind(arguments.listen, behaviour)
        .await
        .with_whatever_context(|_| format!("failed to listen on {}", arguments.listen))?;
    println!("backend: listening on {}", server.address());
    tokio::signal::ctrl_c()
        .await
        .whatever_context("failed to wait for an interrupt")
}

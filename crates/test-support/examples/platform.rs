//! Starts the stand-in platform until it is interrupted.

use azurenotch_platform::roster::Entry;
use azurenotch_test_support::{memory, platform::Server};
use bpaf::Bpaf;
use snafu::{ResultExt, Whatever};
use std::{fs, net::SocketAddr, path::PathBuf};

/// Stand-in for the platform: table, object store and host list in memory.
#[derive(Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Address to listen on; port 0 lets the operating system choose
    #[bpaf(argument("ADDR"), fallback(([127, 0, 0, 1], 7070).into()), display_fallback)]
    listen: SocketAddr,
    /// JSON file with the host list at the start
    #[bpaf(argument("FILE.json"))]
    roster: Option<PathBuf>,
    /// Seed of the random faults
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

#[tokio::main]
#[snafu::report]
async fn main() -> Result<(), Whatever> {
    let arguments = arguments().run();
    let platform = memory::Platform::new(arguments.seed);
    if let Some(path) = &arguments.roster {
        let text = fs::read(path)
            .with_whatever_context(|_| format!("failed to read roster {}", path.display()))?;
        let entries: Vec<Entry> = serde_json::from_slice(&text)
            .with_whatever_context(|_| format!("failed to parse roster {}", path.display()))?;
        platform.set_roster(entries);
    }
    let server = Server::bind(arguments.listen, platform)
        .await
        .with_whatever_context(|_| format!("failed to listen on {}", arguments.listen))?;
    println!("platform: listening on {}", server.address());
    tokio::signal::ctrl_c()
        .await
        .whatever_context("failed to wait for an interrupt")
}

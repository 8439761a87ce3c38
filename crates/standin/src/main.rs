//! Command-line entry point of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use clap::{Parser, Subcommand};
use standin::platform::Platform;
use standin::upstream::{Profile, Upstream};
use standin::{caller, server};

/// Stand-ins for the platform, for upstreams and for callers.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a stand-in platform.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// JSON file with resources to publish at the start.
        #[arg(long)]
        resources: Option<PathBuf>,
    },
    /// Runs upstream endpoints on consecutive ports.
    Upstream {
        /// Address of the first endpoint.
        #[arg(long)]
        listen: SocketAddr,
        /// Number of endpoints.
        #[arg(long, default_value_t = 1)]
        count: u16,
        /// Requests that each endpoint handles concurrently.
        #[arg(long, default_value_t = 3)]
        slots: usize,
        /// Mean service time in microseconds.
        #[arg(long, default_value_t = 10_000)]
        service_us: u64,
        /// Make one request in a hundred take twenty times as long.
        #[arg(long)]
        heavy_tail: bool,
        /// Time after the start of an endpoint during which requests take three times as long, in milliseconds.
        #[arg(long, default_value_t = 0)]
        cold_ms: u64,
        /// Pause between chunks of a download in microseconds.
        #[arg(long, default_value_t = 0)]
        piece_us: u64,
    },
    /// Sends requests and prints a summary as JSON.
    Caller {
        /// Addresses to send requests to, in rotation.
        #[arg(long, required = true, value_delimiter = ',')]
        targets: Vec<SocketAddr>,
        /// Requests per second.
        #[arg(long)]
        rate: f64,
        /// Time for which requests are sent, in seconds.
        #[arg(long)]
        seconds: f64,
        /// HTTP method of the requests.
        #[arg(long, default_value = "GET")]
        method: String,
        /// Path of the requests.
        #[arg(long)]
        path: String,
    },
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Cli::parse().command {
        Command::Platform { listen, resources } => {
            let platform = Platform::default();
            if let Some(path) = resources {
                platform.publish(&read_json::<Vec<resources::Resource>>(&path)?);
            }
            platform.serve(server::bind(listen).await?).await;
        }
        Command::Upstream { listen, count, slots, service_us, heavy_tail, cold_ms, piece_us } => {
            let profile = Profile { slots, service_us, heavy_tail, cold_ms, piece_us };
            let mut servers = tokio::task::JoinSet::new();
            for i in 0..count {
                let addr = SocketAddr::new(listen.ip(), listen.port() + i);
                let listener = server::bind(addr).await.with_context(|| format!("{addr}"))?;
                let upstream = Upstream::new(&addr.to_string(), profile.clone());
                servers.spawn(upstream.serve(listener));
            }
            servers.join_all().await;
        }
        Command::Caller { targets, rate, seconds, method, path } => {
            let duration = Duration::from_secs_f64(seconds);
            let summary = caller::run(caller::Plan { targets, rate, duration, method, path }).await;
            println!("{}", serde_json::to_string_pretty(&summary)?);
        }
    }
    Ok(())
}

fn read_json<T: serde::de::DeserializeOwned>(path: &std::path::Path) -> anyhow::Result<T> {
    let buf = std::fs::read(path).with_context(|| path.display().to_string())?;
    serde_json::from_slice(&buf).with_context(|| path.display().to_string())
}

//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::settings::{self, Settings};
use crate::{check, explain, node};

/// Exit code for settings or resources that are refused.
const REFUSED: u8 = 2;
/// Exit code for a node that cannot start or fails.
const FAILED: u8 = 1;

/// A proxy fleet for upstreams that fail gray.
#[derive(Debug, Parser)]
#[command(name = "dappleway", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one node until SIGTERM, then lets every request in flight end.
    Run {
        /// The settings, in TOML.
        #[arg(long, env = "DAPPLEWAY_SETTINGS")]
        settings: PathBuf,
    },
    /// Checks settings (`.toml`) and resources (`.json`); prints every problem with its remedy.
    Check {
        /// The files. All resources together must form one valid configuration.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Tells the story of one request from the logs of the nodes.
    Explain {
        /// Log files, of all nodes if possible.
        #[arg(long, required = true, num_args = 1..)]
        logs: Vec<PathBuf>,
        /// Identity of the request, as the caller sent or got it.
        #[arg(last = true)]
        request_id: String,
    },
    /// Prints settings that pass all checks, as a start for one's own.
    Settings,
}

/// Runs the command line.
pub fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run { settings } => run(&settings),
        Command::Check { files } => match check::check(&files) {
            problems if problems.is_empty() => ExitCode::SUCCESS,
            problems => refuse(problems),
        },
        Command::Explain { logs, request_id } => match explain::explain(&logs, &request_id) {
            Ok(lines) => {
                lines.iter().for_each(|it| println!("{it}"));
                ExitCode::SUCCESS
            }
            Err(problem) => refuse([problem]),
        },
        Command::Settings => {
            print!("{}", toml::to_string(&Settings::example()).expect("plain data"));
            ExitCode::SUCCESS
        }
    }
}

fn run(path: &std::path::Path) -> ExitCode {
    let loaded = settings::load(path).and_then(|it| it.keys().map(|keys| (it, keys)));
    let (settings, keys) = match loaded {
        Ok(it) => it,
        Err(problems) => {
            return refuse(problems.iter().map(|it| format!("{}: {it}", path.display())));
        }
    };
    match node::run(path, settings, keys) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(FAILED)
        }
    }
}

fn refuse(problems: impl IntoIterator<Item = String>) -> ExitCode {
    problems.into_iter().for_each(|it| eprintln!("{it}"));
    ExitCode::from(REFUSED)
}

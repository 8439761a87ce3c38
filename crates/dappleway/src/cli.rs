//! The command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use resources::KeyDigest;
use zeroize::Zeroizing;

use crate::node::Secrets;
use crate::query::{self, Output, QueryError};
use crate::settings::{self, Settings};
use crate::{check, explain, node};

/// Exit code if a node cannot start, fails or cannot be reached.
const EXIT_FAILED: u8 = 1;
/// Exit code if arguments, settings, resources or a token are rejected.
const EXIT_REFUSED: u8 = 2;
/// Exit code if the requested object does not exist.
const EXIT_NOT_FOUND: u8 = 3;

/// A fleet of HTTP proxies for upstreams with gray failures.
///
/// Exit codes: 0 success; 1 a node cannot start, fails or cannot be reached; 2 arguments, settings, resources or
/// a token are rejected; 3 the requested object does not exist.
#[derive(Debug, Parser)]
#[command(name = "dappleway", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one node until SIGTERM, then completes the requests in flight.
    Run {
        /// Settings file, in TOML.
        #[arg(long, env = "DAPPLEWAY_SETTINGS")]
        settings: PathBuf,
    },
    /// Checks settings (`.toml`) and resources (`.json`); prints every problem with its remedy.
    Check {
        /// Files to check. All resources together must form one valid configuration.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Shows the resources in force at a node.
    Get {
        /// Kind of the resources, such as `Service` or `Route`; all kinds if absent.
        kind: Option<String>,
        /// Name of one resource of that kind.
        #[arg(requires = "kind")]
        name: Option<String>,
        #[command(flatten)]
        target: Target,
    },
    /// Prints a line for each configuration that comes into force at a node.
    Watch {
        /// Print only versions after this one; by default the version in force is printed first.
        #[arg(long, default_value_t = 0)]
        after: u64,
        /// Exit once this version or a later one is in force.
        #[arg(long)]
        until: Option<u64>,
        #[command(flatten)]
        target: Target,
    },
    /// Shows the fleet as a node sees it: nodes, services and endpoints.
    Fleet {
        #[command(flatten)]
        target: Target,
    },
    /// Shows the log lines about a request (`--logs FILE… REQUEST-ID`), or the state of an endpoint and its
    /// reasons (`ENDPOINT`).
    Explain {
        /// Log files, of all nodes if possible.
        #[arg(long, num_args = 1..)]
        logs: Vec<PathBuf>,
        /// Id of the request, as the caller sent or received it, or id or address of an endpoint.
        subject: Option<String>,
        #[command(flatten)]
        target: Target,
    },
    /// Reads an API key from standard input and prints its digest, which resources may contain instead of the key.
    Key,
    /// Prints example settings that pass all checks, as a starting point.
    Settings,
    /// Prints a completion script for a shell.
    Completions {
        /// Shell to print the script for.
        shell: Shell,
    },
}

/// The node to query, and the output format.
#[derive(Debug, Args)]
struct Target {
    /// Address of the node's operator API.
    #[arg(long, env = "DAPPLEWAY_NODE", default_value = "127.0.0.1:7480")]
    node: SocketAddr,
    /// File with the token of the operator API.
    #[arg(long, env = "DAPPLEWAY_TOKEN_FILE")]
    token_file: Option<PathBuf>,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

/// Parses and executes the command line.
pub fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run { settings } => run(&settings),
        Command::Check { files } => match check::check(&files) {
            problems if problems.is_empty() => ExitCode::SUCCESS,
            problems => refuse(problems),
        },
        Command::Get { kind, name, target } => {
            target.query(|it, output| query::get(it, kind.as_deref(), name.as_deref(), output))
        }
        Command::Watch { after, until, target } => {
            target.query(|it, output| query::watch(it, after, until, output))
        }
        Command::Fleet { target } => target.query(query::fleet),
        Command::Explain { logs, subject, target } => explain(logs, subject, &target),
        Command::Key => print_key_digest(),
        Command::Settings => {
            print!("{}", toml::to_string(&Settings::example()).expect("plain data"));
            ExitCode::SUCCESS
        }
        Command::Completions { shell } => {
            let mut out = std::io::stdout();
            clap_complete::generate(shell, &mut Cli::command(), "dappleway", &mut out);
            ExitCode::SUCCESS
        }
    }
}

/// Prints the digest of a key from standard input. A key given as an argument would be visible in the process list.
fn print_key_digest() -> ExitCode {
    let mut text = Zeroizing::new(String::new());
    match std::io::stdin().read_line(&mut text) {
        Ok(_) if !text.trim_end().is_empty() => {
            println!("{}", KeyDigest::of(text.trim_end().as_bytes()));
            ExitCode::SUCCESS
        }
        Ok(_) => refuse(["no key on standard input: write one line".to_owned()]),
        Err(error) => refuse([format!("standard input: {error}")]),
    }
}

fn run(path: &Path) -> ExitCode {
    let loaded = settings::load(path).and_then(|it| {
        let secrets = Secrets { keys: it.keys()?, token: it.token()? };
        Ok((it, secrets))
    });
    let (settings, secrets) = match loaded {
        Ok(it) => it,
        Err(problems) => {
            return refuse(problems.iter().map(|it| format!("{}: {it}", path.display())));
        }
    };
    match node::run(path, settings, secrets) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// With `--logs` the subject may also come last after the files: `--logs` takes all arguments that follow.
fn explain(mut logs: Vec<PathBuf>, subject: Option<String>, target: &Target) -> ExitCode {
    let subject = subject.or_else(|| match logs.len() {
        0 | 1 => None,
        _ => logs.pop().map(|it| it.display().to_string()),
    });
    let Some(subject) = subject else {
        return refuse(["give the id of a request with --logs FILE…, or an endpoint".to_owned()]);
    };
    if logs.is_empty() {
        return target.query(|it, output| query::explain(it, &subject, output));
    }
    match explain::explain(&logs, &subject) {
        Ok(Some(lines)) => {
            lines.iter().for_each(|it| println!("{it}"));
            ExitCode::SUCCESS
        }
        Ok(None) => {
            eprintln!("{subject}: no log line about it: give the logs of all nodes of that time");
            ExitCode::from(EXIT_NOT_FOUND)
        }
        Err(problem) => refuse([problem]),
    }
}

impl Target {
    fn query(
        &self,
        query: impl AsyncFnOnce(operator::Client, Output) -> Result<(), QueryError>,
    ) -> ExitCode {
        let token = match self.token_file.as_ref().map(|it| (it, std::fs::read_to_string(it))) {
            None => None,
            Some((_, Ok(text))) => Some(text.trim().to_owned()),
            Some((path, Err(error))) => return refuse([format!("{}: {error}", path.display())]),
        };
        let client = operator::Client { addr: self.node, token };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let outcome = match runtime {
            Ok(it) => it.block_on(query(client, self.output)),
            Err(error) => Err(QueryError::Output(error)),
        };
        let Err(error) = outcome else { return ExitCode::SUCCESS };
        eprintln!("{error}");
        ExitCode::from(match error {
            QueryError::NotFound(_) => EXIT_NOT_FOUND,
            QueryError::Refused(_) => EXIT_REFUSED,
            QueryError::Unreachable(_) | QueryError::Output(_) => EXIT_FAILED,
        })
    }
}

fn refuse(problems: impl IntoIterator<Item = String>) -> ExitCode {
    problems.into_iter().for_each(|it| eprintln!("{it}"));
    ExitCode::from(EXIT_REFUSED)
}

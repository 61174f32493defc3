//! Command-line arguments.

use core::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use compact_str::CompactString;

use agatemill_core::id;
use agatemill_core::number::Generation;

/// Changes the configuration and shows the state of agatemill.
///
/// Exit codes: 0 success; 1 failure; 2 usage error; 3 conflict with another change; 4 accepted, but not in force on all
/// live members in time; 5 the document has faults.
#[derive(Debug, Parser)]
#[command(name = "agatemillctl", version)]
pub struct Arguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// A command.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks, compares and changes the configuration.
    #[command(subcommand)]
    Config(Config),
    /// Shows the members with their generations and states.
    Status(Status),
    /// Drains a host: it finishes its requests and leaves.
    Drain(Drain),
}

/// Configuration commands.
#[derive(Debug, Subcommand)]
pub enum Config {
    /// Validates a document and prints all faults.
    Check {
        /// The document.
        file: PathBuf,
    },
    /// Shows the changes between a document and an older file or the document in force.
    Diff(Diff),
    /// Puts a document in force.
    Apply(Apply),
    /// Applies the document in force of one environment to another.
    Promote(Promote),
    /// Shows the configuration in force.
    Status(InForce),
}

/// Arguments of `config diff`.
#[derive(Debug, Args)]
pub struct Diff {
    /// The new document.
    pub file: PathBuf,
    /// The old document; by default the one in force in the environment.
    #[arg(
        long,
        conflicts_with = "environment",
        required_unless_present = "environment"
    )]
    pub against: Option<PathBuf>,
    /// Environment whose document is the old one.
    #[arg(long, requires = "platform")]
    pub environment: Option<id::Environment>,
    /// Addresses of the platform's key-value service.
    #[arg(long, value_delimiter = ',')]
    pub platform: Vec<SocketAddr>,
}

/// Destination of a change, and how its rollout is observed.
#[derive(Debug, Args)]
pub struct Target {
    /// Addresses of the platform's key-value service.
    #[arg(long, value_delimiter = ',', required = true)]
    pub platform: Vec<SocketAddr>,
    /// A control of the target environment, which is queried for the generation of the members.
    #[arg(long)]
    pub control: Option<SocketAddr>,
    /// Author that is stored with the change.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: CompactString,
    /// Generation that must be in force before the change.
    #[arg(long)]
    pub expect: Option<Generation>,
    /// Seconds to wait until all live members have the change in force; only with --control.
    #[arg(long, default_value_t = 11)]
    pub wait: u64,
}

/// Arguments of `config apply`.
#[derive(Debug, Args)]
pub struct Apply {
    /// The document.
    pub file: PathBuf,
    /// Environment to change.
    #[arg(long)]
    pub environment: id::Environment,
    /// Destination of the change, and how its rollout is observed.
    #[command(flatten)]
    pub target: Target,
}

/// Arguments of `config promote`.
#[derive(Debug, Args)]
pub struct Promote {
    /// Source environment of the document.
    #[arg(long)]
    pub from: id::Environment,
    /// Environment to change.
    #[arg(long)]
    pub to: id::Environment,
    /// Destination of the change, and how its rollout is observed.
    #[command(flatten)]
    pub target: Target,
}

/// Arguments of `config status`.
#[derive(Debug, Args)]
pub struct InForce {
    /// The environment.
    #[arg(long)]
    pub environment: id::Environment,
    /// Addresses of the platform's key-value service.
    #[arg(long, value_delimiter = ',', required = true)]
    pub platform: Vec<SocketAddr>,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct Status {
    /// The control to query.
    #[arg(long)]
    pub control: SocketAddr,
    /// Prints JSON instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `drain`.
#[derive(Debug, Args)]
pub struct Drain {
    /// The host to drain.
    pub host: id::Host,
    /// The control to query.
    #[arg(long)]
    pub control: SocketAddr,
}

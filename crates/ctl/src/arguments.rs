//! Arguments of the command line.

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
/// Exit codes: 0 done; 1 failed; 2 wrong usage; 3 conflict with another change; 4 accepted, but not in
/// force on all live members in time; 5 the document has faults.
#[derive(Debug, Parser)]
#[command(name = "agatemillctl", version)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks, compares and changes the configuration.
    #[command(subcommand)]
    Config(Config),
    /// Shows members, generations and states.
    Status(Status),
    /// Asks a host to finish its work and leave.
    Drain(Drain),
}

/// Configuration commands.
#[derive(Debug, Subcommand)]
pub enum Config {
    /// Checks a document and prints all of its faults.
    Check {
        /// The document.
        file: PathBuf,
    },
    /// Shows what a document changes, against an older file or against what is in force.
    Diff(Diff),
    /// Puts a document in force.
    Apply(Apply),
    /// Puts the document that is in force in one environment in force in another.
    Promote(Promote),
    /// Shows what is in force.
    Status(InForce),
}

/// Arguments of `config diff`.
#[derive(Debug, Args)]
pub struct Diff {
    /// The new document.
    pub file: PathBuf,
    /// The old document; without it, what is in force in the environment.
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

/// Where a change is written and followed.
#[derive(Debug, Args)]
pub struct Target {
    /// Addresses of the platform's key-value service.
    #[arg(long, value_delimiter = ',', required = true)]
    pub platform: Vec<SocketAddr>,
    /// A control of the changed environment, which is asked for the generation of its members.
    #[arg(long)]
    pub control: Option<SocketAddr>,
    /// Name that goes with the change.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: CompactString,
    /// Generation that must be in force before the change.
    #[arg(long)]
    pub expect: Option<Generation>,
    /// Seconds to wait for all live members; only with --control.
    #[arg(long, default_value_t = 11)]
    pub wait: u64,
}

/// Arguments of `config apply`.
#[derive(Debug, Args)]
pub struct Apply {
    /// The document.
    pub file: PathBuf,
    /// Environment that is changed.
    #[arg(long)]
    pub environment: id::Environment,
    /// Where the change is written and followed.
    #[command(flatten)]
    pub target: Target,
}

/// Arguments of `config promote`.
#[derive(Debug, Args)]
pub struct Promote {
    /// Environment whose document is promoted.
    #[arg(long)]
    pub from: id::Environment,
    /// Environment that is changed.
    #[arg(long)]
    pub to: id::Environment,
    /// Where the change is written and followed.
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
    /// The control that is asked.
    #[arg(long)]
    pub control: SocketAddr,
    /// Prints JSON instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `drain`.
#[derive(Debug, Args)]
pub struct Drain {
    /// The host.
    pub host: id::Host,
    /// The control that is asked.
    #[arg(long)]
    pub control: SocketAddr,
}

//! Implementation of the commands.

use core::time::Duration;
use std::fs;
use std::path::Path;

use crate::apply::Outcome;
use crate::apply::Request;
use crate::arguments;
use crate::arguments::Arguments;
use crate::arguments::Command;
use crate::arguments::Config;
use crate::control::Control;
use crate::error::Error;
use crate::exit::Exit;
use crate::progress;
use crate::progress::Progress;
use crate::promote;
use crate::store::Completion;
use crate::store::Store;
use agatemill_config::Document;
use agatemill_core::id;
use agatemill_core::number::Generation;
use agatemill_wire::Count;

/// Interval between counts of the members. For each count, the queried control sends a datagram to every zone.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a command and prints its result.
///
/// # Errors
///
/// Any error that aborts the command.
pub async fn run(arguments: Arguments) -> Result<Exit, Error> {
    match arguments.command {
        Command::Config(Config::Check { file }) => check(&file),
        Command::Config(Config::Diff(arguments)) => diff(&arguments).await,
        Command::Config(Config::Apply(arguments)) => apply(&arguments).await,
        Command::Config(Config::Promote(arguments)) => promote(&arguments).await,
        Command::Config(Config::Status(arguments)) => config_status(&arguments).await,
        Command::Status(arguments) => status(&arguments).await,
        Command::Drain(arguments) => drain(arguments).await,
    }
}

fn check(file: &Path) -> Result<Exit, Error> {
    let text = read(file)?;
    let document = parse(&file.display().to_string(), &text)?;
    println!(
        "{}: {} bytes, digest {}, {} engines, {} services, {} organisations, no faults",
        file.display(),
        text.len(),
        Document::digest(&text),
        document.engines.len(),
        document.services.len(),
        document.organisations.len(),
    );
    Ok(Exit::Done)
}

async fn diff(arguments: &arguments::Diff) -> Result<Exit, Error> {
    let new = parse(
        &arguments.file.display().to_string(),
        &read(&arguments.file)?,
    )?;
    let old = match (&arguments.against, &arguments.environment) {
        (Some(file), _) => parse(&file.display().to_string(), &read(file)?)?,
        (None, Some(environment)) => {
            let current = Store::new(&arguments.platform, environment).read().await?;
            let envelope = current.envelope;
            let text = envelope.map(|envelope| envelope.text);
            text.map_or(Ok(Document::default()), |text| {
                parse(environment.as_str(), &text)
            })?
        }
        (None, None) => Document::default(),
    };
    for change in agatemill_config::diff(&old, &new) {
        println!("{change}");
    }
    Ok(Exit::Done)
}

async fn apply(arguments: &arguments::Apply) -> Result<Exit, Error> {
    let text = read(&arguments.file)?;
    parse(&arguments.file.display().to_string(), &text)?;
    let target = &arguments.target;
    let control = connect(target, &arguments.environment).await?;
    let store = Store::new(&target.platform, &arguments.environment);
    let current = store.read().await?;
    let request = build_request(text, target, control.as_ref()).await?;
    let completion = store.apply(request, &current).await?;
    report(&completion, target, control.as_ref()).await
}

async fn promote(arguments: &arguments::Promote) -> Result<Exit, Error> {
    let target = &arguments.target;
    let control = connect(target, &arguments.to).await?;
    let source = Store::new(&target.platform, &arguments.from);
    let store = Store::new(&target.platform, &arguments.to);
    let current = store.read().await?;
    let before = source.read().await?;
    let empty = || Error::NoDocument(arguments.from.clone());
    let text = before.envelope.clone().ok_or_else(empty)?.text;
    parse(arguments.from.as_str(), &text)?;
    println!("{}: digest {}", arguments.from, Document::digest(&text));
    let request = build_request(text, target, control.as_ref()).await?;
    if source.read().await?.revision != before.revision {
        println!(
            "conflict: {} changed concurrently; nothing was written",
            arguments.from
        );
        return Ok(Exit::Conflict);
    }
    let completion = store.apply(request, &current).await?;
    // Read immediately: the later the read, the less the revision of the source proves about the moment of the write.
    let after = source.read().await;
    let exit = report(&completion, target, control.as_ref()).await?;
    if !matches!(completion.outcome, Outcome::Accepted(_)) {
        return Ok(exit);
    }
    let after = after?;
    if promote::compare_source(&before, &after, completion.revision) == promote::Source::Changed {
        println!(
            "conflict: {} changed during the promotion; {} may have an older document than {}",
            arguments.from, arguments.to, arguments.from,
        );
        return Ok(Exit::Conflict);
    }
    Ok(exit)
}

async fn config_status(arguments: &arguments::InForce) -> Result<Exit, Error> {
    let store = Store::new(&arguments.platform, &arguments.environment);
    let current = store.read().await?;
    let empty = || Error::NoDocument(arguments.environment.clone());
    let envelope = current.envelope.ok_or_else(empty)?;
    println!("environment  {}", arguments.environment);
    println!("generation   {}", envelope.generation);
    println!("digest       {}", envelope.digest);
    println!("author       {}", envelope.author);
    println!("write        {}", envelope.write);
    println!("bytes        {}", envelope.text.len());
    println!("revision     {}", current.revision);
    Ok(Exit::Done)
}

async fn status(arguments: &arguments::Status) -> Result<Exit, Error> {
    let control = Control::connect(arguments.control).await?;
    let overview = control.overview().await?;
    let count = control.count(Generation(overview.generation)).await?;
    let progress = Progress { overview, count };
    if arguments.json {
        let text = serde_json::to_string_pretty(&progress).expect("an overview serialises to JSON");
        println!("{text}");
    } else {
        print!("{}", progress.table());
    }
    Ok(Exit::Done)
}

async fn drain(arguments: arguments::Drain) -> Result<Exit, Error> {
    let control = Control::connect(arguments.control).await?;
    if control.drain(arguments.host.clone()).await? {
        println!("host {} is draining", arguments.host);
        Ok(Exit::Done)
    } else {
        println!(
            "control {} does not know host {}",
            arguments.control, arguments.host
        );
        Ok(Exit::Failed)
    }
}

fn read(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|source| Error::Read {
        path: file.to_owned(),
        source,
    })
}

fn parse(name: &str, text: &str) -> Result<Document, Error> {
    Document::parse(text).map_err(|faults| Error::Faults {
        name: name.to_owned(),
        faults,
    })
}

async fn connect(
    target: &arguments::Target,
    environment: &id::Environment,
) -> Result<Option<Control>, Error> {
    let Some(address) = target.control else {
        return Ok(None);
    };
    let control = Control::connect(address).await?;
    let found = control.overview().await?.environment;
    if found == *environment {
        return Ok(Some(control));
    }
    let expected = environment.clone();
    Err(Error::EnvironmentMismatch { found, expected })
}

async fn build_request(
    text: String,
    target: &arguments::Target,
    control: Option<&Control>,
) -> Result<Request, Error> {
    let cluster_generation = match control {
        Some(control) => {
            let overview = control.overview().await?;
            let count = control.count(Generation(overview.generation)).await?;
            progress::highest_generation(&overview, &count)
        }
        None => Generation(0),
    };
    Ok(Request {
        text,
        author: target.author.clone(),
        write_id: compact_str::format_compact!("{:032x}", fastrand::u128(..)),
        expected_generation: target.expect,
        cluster_generation,
    })
}

/// Prints the outcome of a change and, if a control is given, waits until all live members have it in force.
async fn report(
    completion: &Completion,
    target: &arguments::Target,
    control: Option<&Control>,
) -> Result<Exit, Error> {
    println!("{}", completion.outcome);
    let generation = match completion.outcome {
        Outcome::Accepted(generation) | Outcome::Unchanged(generation) => generation,
        Outcome::GenerationMismatch { .. } | Outcome::Superseded { .. } | Outcome::Removed => {
            return Ok(Exit::Conflict);
        }
        Outcome::TooLarge { .. } | Outcome::Uncertain => return Ok(Exit::Failed),
    };
    match control {
        Some(control) => {
            wait_until_in_force(control, generation, Duration::from_secs(target.wait)).await
        }
        None => Ok(Exit::Done),
    }
}

/// Polls the control until all live members have the generation in force, or until `limit` has passed.
async fn wait_until_in_force(
    control: &Control,
    generation: Generation,
    limit: Duration,
) -> Result<Exit, Error> {
    let end = agatemill_runtime::now() + limit;
    loop {
        // The change is already accepted, so an error of the control does not mean that it failed.
        let answer = control.count(generation).await;
        if answer.as_ref().is_ok_and(Count::is_complete) {
            println!("generation {generation} is in force on all live members");
            return Ok(Exit::Done);
        }
        if agatemill_runtime::now() >= end {
            match answer {
                Ok(count) => print!("{}", progress::summary(&count)),
                Err(error) => println!("{error}"),
            }
            return Ok(Exit::Pending);
        }
        agatemill_runtime::sleep(POLL_INTERVAL).await;
    }
}

//! How far a generation has come.

use agatemill_core::number::Generation;
use agatemill_wire::Member;
use agatemill_wire::Overview;
use agatemill_wire::member::State;

/// Live members that do not have the generation in force yet. A suspected member counts as live until it
/// is known to be dead, because it may still serve callers.
#[must_use]
pub fn behind(overview: &Overview, generation: Generation) -> Vec<&Member> {
    let live = |member: &&Member| matches!(member.state, State::Alive | State::Suspect);
    let members = overview.members.iter().filter(live);
    members
        .filter(|member| member.generation < generation.0)
        .collect()
}

/// Highest generation that the control or any member holds.
#[must_use]
pub fn highest(overview: &Overview) -> Generation {
    let members = overview.members.iter().map(|member| member.generation);
    Generation(members.fold(overview.generation, u64::max))
}

/// The overview as a table with a line for each member.
#[must_use]
pub fn table(overview: &Overview) -> String {
    let confirmed = overview
        .confirmed_ms
        .map_or_else(|| "never".to_owned(), |age| format!("{age}ms ago"));
    let mut text = format!(
        "{} of {}: generation {}, confirmed {confirmed}\n{:<24} {:<16} {:<8} {:<9} {:>10}\n",
        overview.host,
        overview.environment,
        overview.generation,
        "HOST",
        "ZONE",
        "STATE",
        "SERVICE",
        "GENERATION",
    );
    text.extend(overview.members.iter().map(line));
    text
}

fn line(member: &Member) -> String {
    let state = format!("{:?}", member.state).to_lowercase();
    let service = format!("{:?}", member.service).to_lowercase();
    format!(
        "{:<24} {:<16} {state:<8} {service:<9} {:>10}\n",
        member.host.as_str(),
        member.zone.as_str(),
        member.generation,
    )
}

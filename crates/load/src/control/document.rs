//! Configuration documents of the measurements.

use core::fmt::Write;
use core::net::SocketAddr;

use agatemill_core::Digest;

/// Bearer token of the first organisation.
pub const TOKEN: &str = "measured";

/// Model of all engines.
pub const MODEL: &str = "draft";

/// Number of layers in each stage.
pub const STAGE_LAYERS: u32 = 8;

/// Zones to which hosts and engines are assigned in turn.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// An engine of the document.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name of the engine.
    pub name: String,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Index of its stage.
    pub stage: u32,
}

/// Renders a document with at least one organisation.
///
/// # Errors
///
/// Never: writing to a string cannot fail.
pub fn render(
    organisations: usize,
    engines: &[Engine],
    comment: &str,
) -> Result<String, core::fmt::Error> {
    let mut text = format!("# {comment}\nhalves = [\"kadunaledger\"]\n");
    text.push_str("\n[settings]\naddress_lifetime = \"1s\"\n");
    for zone in ZONES {
        writeln!(text, "\n[[zone]]\nname = \"{zone}\"\nregion = \"r\"")?;
    }
    if let Some(last) = engines.iter().map(|engine| engine.stage).max() {
        let layers = (last + 1) * STAGE_LAYERS;
        writeln!(
            text,
            "\n[[model]]\nname = \"{MODEL}\"\nversion = \"1\"\nlayers = {layers}\nactivation = \"8KiB\""
        )?;
    }
    for (index, engine) in engines.iter().enumerate() {
        let (start, end) = (
            engine.stage * STAGE_LAYERS,
            (engine.stage + 1) * STAGE_LAYERS,
        );
        writeln!(
            text,
            "\n[[engine]]\nname = \"{}\"\naddress = \"{}\"\nhalf = \"kadunaledger\"\nzone = \"{}\"\n\
             accelerator = \"x1\"\nmodel = \"{MODEL}\"\nversion = \"1\"\nlayers = \"{start}..{end}\"\n\
             throughput = \"2000/s\"\nbatch = 16\nfencing = true",
            engine.name,
            engine.address,
            ZONES[index % ZONES.len()],
        )?;
    }
    let models = if engines.is_empty() {
        String::new()
    } else {
        format!("\"{MODEL}\"")
    };
    for index in 0..organisations.max(1) {
        let token = if index == 0 {
            TOKEN.to_owned()
        } else {
            format!("{TOKEN}-{index}")
        };
        let digest = Digest::of(token.as_bytes());
        writeln!(
            text,
            "\n[[organisation]]\nname = \"organisation-{index:05}\"\nhalf = \"kadunaledger\"\n\
             tokens = [\"{digest}\"]\nmodels = [{models}]\nrate = \"100000/s\"\nconcurrency = 10000"
        )?;
    }
    Ok(text)
}

//! Configuration document of the demo.

use core::fmt::Write;
use core::net::SocketAddr;

use agatemill_core::Digest;

/// Bearer token of the organisation.
pub const TOKEN: &str = "demo-token";

/// Name of the model.
pub const MODEL: &str = "claims-draft";

/// Number of layers of each stage.
pub const STAGE_LAYERS: u32 = 8;

/// Number of stages of each chain.
pub const STAGES: u32 = 3;

/// An engine in the document.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name of the engine.
    pub name: String,
    /// Listening address.
    pub address: SocketAddr,
    /// Index of the stage.
    pub stage: u32,
}

/// Writes the document for the running fakes.
pub fn write(engines: &[Engine], payments: SocketAddr) -> Result<String, core::fmt::Error> {
    let mut text = String::from(
        "halves = [\"kadunaledger\"]\n\n[settings]\naddress_lifetime = \"1s\"\n\n[[zone]]\nname = \"a\"\nregion = \"demo\"\n\n",
    );
    let layers = STAGES * STAGE_LAYERS;
    writeln!(
        text,
        "[[model]]\nname = \"{MODEL}\"\nversion = \"1\"\nlayers = {layers}\nactivation = \"8KiB\"\n"
    )?;
    for Engine {
        name,
        address,
        stage,
    } in engines
    {
        let (start, end) = (stage * STAGE_LAYERS, (stage + 1) * STAGE_LAYERS);
        writeln!(
            text,
            "[[engine]]\nname = \"{name}\"\naddress = \"{address}\"\nhalf = \"kadunaledger\"\nzone = \"a\"\n\
             accelerator = \"demo\"\nmodel = \"{MODEL}\"\nversion = \"1\"\nlayers = \"{start}..{end}\"\n\
             throughput = \"500/s\"\nbatch = 16\nfencing = true\n"
        )?;
    }
    writeln!(
        text,
        "[[service]]\nname = \"payments\"\nhalf = \"kadunaledger\"\n\n\
         [[service.server]]\nname = \"payments-1\"\naddress = \"{payments}\"\nzone = \"a\"\n\n\
         [[service.call]]\nmethod = \"POST\"\npath = \"/pay\"\nidempotent = false\n"
    )?;
    let digest = Digest::of(TOKEN.as_bytes());
    writeln!(
        text,
        "[[organisation]]\nname = \"claims-office\"\nhalf = \"kadunaledger\"\ntokens = [\"{digest}\"]\n\
         models = [\"{MODEL}\"]\nservices = [\"payments\"]\nrate = \"100/s\"\nconcurrency = 20\n"
    )?;
    Ok(text)
}

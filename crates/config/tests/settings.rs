//! Tests of the settings files of the programs.
//!
//! Guards against misspelt keys that are silently ignored, and against errors without a location.

use std::fs;
use std::path::Path;

use assert_matches::assert_matches;
use serde::Deserialize;

use agatemill_config::settings;

#[derive(Debug, PartialEq, Deserialize)]
struct Settings {
    host: String,
    #[serde(default)]
    listen: Option<Listen>,
    #[serde(default)]
    peers: Vec<Listen>,
}

#[derive(Debug, PartialEq, Deserialize)]
struct Listen {
    port: u16,
}

fn error(text: &str) -> String {
    let parsed = settings::parse::<Settings>(Path::new("entry.toml"), text);
    parsed.expect_err("the text has a fault").to_string()
}

#[test]
fn a_file_is_loaded() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("entry.toml");
    fs::write(&path, "host = \"h1\"\n[listen]\nport = 7001\n").unwrap();
    let settings: Settings = settings::load(&path).unwrap();
    assert_eq!(settings.listen, Some(Listen { port: 7001 }));
}

#[test]
fn a_missing_file_is_reported_with_its_path() {
    let found = settings::load::<Settings>(Path::new("/nonexistent/entry.toml"));
    assert_matches!(found, Err(settings::Error::Read { .. }));
    let text = found.unwrap_err().to_string();
    assert!(text.starts_with("/nonexistent/entry.toml: "), "{text}");
}

#[test]
fn unknown_keys_are_rejected_at_every_level() {
    assert_eq!(
        error("host = \"h\"\nhots = \"h\"\n"),
        "entry.toml:2: hots: unknown key, expected only keys that the program knows"
    );
    assert_eq!(
        error("host = \"h\"\n[listen]\nport = 1\nprot = 2\n"),
        "entry.toml:4: listen.prot: unknown key, expected only keys that the program knows"
    );
    assert_eq!(
        error("host = \"h\"\n[[peers]]\nport = 1\n[[peers]]\nport = 1\nprot = 2\n"),
        "entry.toml:6: peers.1.prot: unknown key, expected only keys that the program knows"
    );
}

#[test]
fn invalid_values_are_reported_with_what_is_expected() {
    assert_eq!(
        error("host = \"h\"\n[listen]\nport = \"x\"\n"),
        "entry.toml:3: listen.port: invalid type: string \"x\", expected u16"
    );
    assert_eq!(
        error("host = \"h\"\npeers = [{ port = 1 }, { port = 70000 }]\n"),
        "entry.toml:2: peers[1].port: invalid value: integer `70000`, expected u16"
    );
    assert_eq!(error(""), "entry.toml:1: (file): missing field `host`");
    assert_eq!(
        error("host = \"h\"\nhost = \"i\"\n"),
        "entry.toml:2: (file): not valid TOML: duplicate key"
    );
}

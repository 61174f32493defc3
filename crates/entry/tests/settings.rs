//! Settings files and command-line options of the program.

use std::fs;

use clap::Parser;

use agatemill_entry::Error;
use agatemill_entry::Settings;
use agatemill_entry::command::Options;

const FILE: &str = r#"
host = "e1"
zone = "a"
environment = "trial"
listen = "127.0.0.1:0"
control = "127.0.0.1:7000"
drain_limit = "2m"
[limits]
slots = 8
"#;

fn load(text: &str, options: &[&str]) -> Result<Settings, Error> {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("entry.toml");
    fs::write(&path, text).unwrap();
    let path = path.to_str().unwrap();
    let arguments = ["agatemill-entry", "--settings", path];
    let all = arguments.iter().chain(options);
    Options::try_parse_from(all).unwrap().load()
}

/// Guards against options that do not override the file, and against missing defaults.
#[test]
fn options_override_the_file() {
    let settings = load(FILE, &["--zone", "b", "--platform", "127.0.0.1:2379"]).unwrap();
    assert_eq!(settings.zone.as_str(), "b");
    assert_eq!(settings.host.as_str(), "e1");
    assert_eq!(settings.platform.len(), 1);
    assert_eq!(settings.limits.slots, 8);
    assert_eq!(settings.limits.body.to_string(), "1MiB");
}

/// Guards against misspelt keys and invalid values that would stop the process later.
#[test]
fn invalid_settings_are_refused_with_their_key() {
    for (text, expected) in [
        (FILE.replace("drain_limit", "drain_limits"), "drain_limits"),
        (FILE.replace("slots = 8", "slots = 0"), "limits.slots"),
        (
            FILE.replace("slots = 8", "headers = \"1KiB\""),
            "limits.headers",
        ),
        (
            FILE.replace("slots = 8", "memory = \"63MB\""),
            "limits.memory",
        ),
        (FILE.replace("slots = 8", "body = \"12MiB\""), "limits.body"),
        (FILE.replace("127.0.0.1:0", "0.0.0.0:80"), "advertise"),
        (FILE.replace("zone = \"a\"", "zone = \"-a\""), "zone"),
    ] {
        let error = load(&text, &[]).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}

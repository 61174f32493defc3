//! Settings of a host.

/// Guards against out-of-range settings that are accepted at the start and stop the process later.
#[test]
fn settings_out_of_range_are_refused() {
    let text = "host = \"h1\"\nzone = \"a\"\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n\
        directory = \"127.0.0.1:3\"\nmetrics = \"127.0.0.1:4\"\nexchange = \"127.0.0.1:5\"\nstore = \"127.0.0.1:6\"\n\
        [bounds]\nretry_ratio = -1.0\nretry_base = 200\nretry_window = \"10s\"\nrevocation = \"4s\"\ngrace = \"3s\"\n";
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let error = agatemill_gateway::Settings::load(file.path()).unwrap_err();
    assert!(error.to_string().contains("bounds.retry_ratio"), "{error}");
    let text = text.replace("-1.0", "0.2");
    std::fs::write(file.path(), &text).unwrap();
    assert!(agatemill_gateway::Settings::load(file.path()).is_ok());
    for (line, key) in [
        ("memory = \"63MB\"", "memory"),
        ("descriptors = 63", "descriptors"),
    ] {
        std::fs::write(file.path(), format!("{line}\n{text}")).unwrap();
        let error = agatemill_gateway::Settings::load(file.path()).unwrap_err();
        assert!(
            error.to_string().contains(&format!("setting {key}")),
            "{error}"
        );
    }
    for (line, key) in [
        ("reserve = \"6s\"", "admission.reserve"),
        ("floor = 0.4", "admission.floor"),
        ("fill = 0.4", "admission.fill"),
        ("wait = 1.1", "admission.wait"),
    ] {
        std::fs::write(file.path(), format!("{text}\n[admission]\n{line}\n")).unwrap();
        let error = agatemill_gateway::Settings::load(file.path()).unwrap_err();
        assert!(
            error.to_string().contains(&format!("setting {key}")),
            "{error}"
        );
    }
    let limits = "memory = \"160.0MB\"\ndescriptors = 4100\n";
    std::fs::write(file.path(), format!("{limits}{text}")).unwrap();
    let settings = agatemill_gateway::Settings::load(file.path()).unwrap();
    assert_eq!(settings.memory.unwrap().0, 160_000_000);
    assert_eq!(settings.descriptors, Some(4_100));
}

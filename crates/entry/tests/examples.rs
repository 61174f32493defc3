//! Guards against an example settings file that the program refuses.

use std::path::Path;

use agatemill_entry::Settings;

#[test]
fn the_example_settings_are_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings/entry.toml");
    let settings: Settings = agatemill_config::settings::load(&path).unwrap();
    settings.check().unwrap();
}

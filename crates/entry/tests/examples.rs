//! Guards against an example of the settings that the program refuses.

use std::path::Path;

use agatemill_entry::Settings;

#[test]
fn the_example_is_accepted() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings/entry.toml");
    let settings: Settings = agatemill_config::settings::load(&path).unwrap();
    settings.check().unwrap();
}

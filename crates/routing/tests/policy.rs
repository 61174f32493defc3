//! Names of policies.

use agatemill_routing::policy::Name;

/// Guards against a policy whose name in the settings differs from its name in measurements.
#[test]
fn names_agree_with_policies() {
    for name in Name::ALL {
        assert_eq!(name.policy().name, name.to_string());
        assert_eq!(name.to_string().parse::<Name>().unwrap(), name);
    }
    assert!("fastest".parse::<Name>().is_err());
}

//! Contracts of service calls.

use agatemill_config::document::Call;
use agatemill_config::document::Service;
use agatemill_core::Reason;
use agatemill_core::Refusal;

/// Finds the first contract of a service that a request matches.
///
/// # Errors
///
/// [`Reason::MethodNotAllowed`] when only contracts with another method match the path, [`Reason::NotFound`]
/// when no contract matches the path, and [`Reason::BadRequest`] when the path is ambiguous.
pub fn find<'a>(service: &'a Service, method: &str, path: &str) -> Result<&'a Call, Refusal> {
    check_normalised(path)?;
    let mut candidates = service
        .calls
        .iter()
        .filter(|call| matches(&call.path, path));
    let mut path_known = false;
    let found = candidates.find(|call| {
        path_known = true;
        call.method == method
    });
    found.ok_or_else(|| no_contract(service, method, path_known))
}

fn no_contract(service: &Service, method: &str, path_known: bool) -> Refusal {
    let name = &service.name;
    let (reason, detail) = if path_known {
        let detail = compact_str::format_compact!("service {name} takes no {method} on this path");
        (Reason::MethodNotAllowed, detail)
    } else {
        let detail = compact_str::format_compact!("service {name} has no call with this path");
        (Reason::NotFound, detail)
    };
    Refusal::not_run(reason, detail)
}

/// Whether a path matches the path of a contract, in which a last segment `*` matches any remainder.
fn matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix("/*") {
        Some(start) => path
            .strip_prefix(start)
            .is_some_and(|rest| rest.starts_with('/')),
        None => pattern == path,
    }
}

/// Refuses a path that a server could normalise to another one: with dot segments, empty segments, a
/// backslash or needless percent encoding. Such a path could match the contract of an idempotent call and
/// run a non-idempotent one.
fn check_normalised(path: &str) -> Result<(), Refusal> {
    let segments = path.split('/').skip(1);
    let count = segments.clone().count();
    let empty_inside = segments
        .clone()
        .take(count.saturating_sub(1))
        .any(str::is_empty);
    let dotted = segments
        .clone()
        .any(|segment| segment == "." || segment == "..");
    if empty_inside || dotted || path.contains('\\') || has_needless_encoding(path) {
        let detail = "the path has empty or dot segments or needless percent encoding";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(())
}

/// Whether a percent sign is followed by anything but the two hexadecimal digits of a character that must be
/// encoded.
fn has_needless_encoding(path: &str) -> bool {
    path.split('%').skip(1).any(|rest| {
        let digits = rest.get(..2).unwrap_or_default();
        let strict = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u8::from_str_radix(digits, 16) {
            Ok(byte) if strict => {
                byte.is_ascii_alphanumeric() || b"-._~/\\;".contains(&byte) || byte < b' '
            }
            _ => true,
        }
    })
}

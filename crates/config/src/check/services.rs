//! Checks of services and their calls.

use crate::check::Context;
use crate::check::servers::Servers;
use crate::check::uniqueness::Uniqueness;
use crate::check::valid_parts;
use crate::document::Call;
use crate::path::Path;

pub(crate) fn check<'a>(context: &Context<'a>, servers: &mut Servers<'a>) {
    let mut uniqueness = Uniqueness::new(context.source);
    let list = Path::root("service");
    for (index, service) in valid_parts(&context.draft.services) {
        let path = list.index(index);
        uniqueness.check(&path.key("name"), &service.name, &service.name);
        context.ensure_half(&path.key("half"), service.half.as_str());
        let server_list = path.key("server");
        let some = !service.servers.is_empty();
        context.ensure(some, &server_list, "an empty list", "at least one server");
        for (index, server) in service.servers.iter().enumerate() {
            let path = server_list.index(index);
            servers.check(&path, &server.name, server.address);
            context.ensure_zone(&path.key("zone"), server.zone.as_str());
        }
        check_calls(context, &path, &service.calls);
    }
}

fn check_calls(context: &Context<'_>, service: &Path<'_>, calls: &[Call]) {
    let list = service.key("call");
    for (index, call) in calls.iter().enumerate() {
        let path = list.index(index);
        let capitals =
            !call.method.is_empty() && call.method.bytes().all(|byte| byte.is_ascii_uppercase());
        let found = format_args!("{:?}", call.method);
        let expected = "an HTTP method in capitals, such as POST";
        context.ensure(capitals, &path.key("method"), found, expected);
        let found = format_args!("{:?}", call.path);
        let expected = "a path with a leading / and * only as the last segment";
        context.ensure(
            is_path_pattern(&call.path),
            &path.key("path"),
            found,
            expected,
        );
        let earlier = calls[..index]
            .iter()
            .position(|earlier| is_shadowed(call, earlier));
        if let Some(earlier) = earlier {
            let line = context.source.line(&list.index(earlier));
            let found = format_args!("{} {}", call.method, call.path);
            // The first match applies, so a payment listed after an idempotent `/*` would be retried.
            let expected = format_args!("a call that the call on line {line} does not match first");
            context.source.report(&path, found, expected);
        }
    }
}

fn is_path_pattern(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#' | b'*' | b'"');
    let fixed = rest.strip_suffix('*').unwrap_or(rest);
    let is_whole_segment = fixed.len() == rest.len() || fixed.is_empty() || fixed.ends_with('/');
    is_whole_segment && fixed.bytes().all(is_plain)
}

/// Whether every request that matches `later` also matches `earlier`.
fn is_shadowed(later: &Call, earlier: &Call) -> bool {
    let path = match earlier.path.strip_suffix('*') {
        Some(prefix) => later.path.starts_with(prefix),
        None => earlier.path == later.path,
    };
    earlier.method == later.method && path
}

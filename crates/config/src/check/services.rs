//! Checks of services and their calls.

use crate::check::Context;
use crate::check::parts;
use crate::check::places::Places;
use crate::check::seen::Seen;
use crate::document::Call;
use crate::path::Path;

pub(crate) fn check<'a>(context: &Context<'a>, places: &mut Places<'a>) {
    let mut seen = Seen::new(context.source);
    let list = Path::root("service");
    for (index, service) in parts(&context.draft.services) {
        let path = list.index(index);
        seen.unique(&path.key("name"), &service.name, &service.name);
        context.half(&path.key("half"), service.half.as_str());
        let servers = path.key("server");
        let some = !service.servers.is_empty();
        context.ensure(some, &servers, "an empty list", "at least one server");
        for (index, server) in service.servers.iter().enumerate() {
            let path = servers.index(index);
            places.check(&path, &server.name, server.address);
            context.zone(&path.key("zone"), server.zone.as_str());
        }
        calls(context, &path, &service.calls);
    }
}

fn calls(context: &Context<'_>, service: &Path<'_>, calls: &[Call]) {
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
        context.ensure(is_pattern(&call.path), &path.key("path"), found, expected);
        let earlier = calls[..index]
            .iter()
            .position(|earlier| covers(earlier, call));
        if let Some(earlier) = earlier {
            let line = context.source.line(&list.index(earlier));
            let found = format_args!("{} {}", call.method, call.path);
            // The first match counts, so a payment below an idempotent `/*` would be sent again.
            let expected = format_args!("a call that the call on line {line} does not match first");
            context.source.fault(&path, found, expected);
        }
    }
}

fn is_pattern(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#' | b'*' | b'"');
    let fixed = rest.strip_suffix('*').unwrap_or(rest);
    let last_whole = fixed.len() == rest.len() || fixed.is_empty() || fixed.ends_with('/');
    last_whole && fixed.bytes().all(plain)
}

/// Whether every request that matches `later` matches `earlier` too.
fn covers(earlier: &Call, later: &Call) -> bool {
    let path = match earlier.path.strip_suffix('*') {
        Some(prefix) => later.path.starts_with(prefix),
        None => earlier.path == later.path,
    };
    earlier.method == later.method && path
}

//! Checks of organisations.

use core::fmt::Display;
use core::hash::Hash;

use crate::check::Context;
use crate::check::parts;
use crate::check::seen::Seen;
use crate::document::Organisation;
use crate::path::Path;
use crate::short;

pub(crate) fn check(context: &Context<'_>) {
    let mut names = Seen::new(context.source);
    let mut tokens = Seen::new(context.source);
    let list = Path::root("organisation");
    for (index, organisation) in parts(&context.draft.organisations) {
        let path = list.index(index);
        names.unique(&path.key("name"), &organisation.name, &organisation.name);
        context.half(&path.key("half"), organisation.half.as_str());
        let digests = path.key("tokens");
        let some = !organisation.tokens.is_empty();
        context.ensure(some, &digests, "an empty list", "at least one token digest");
        for (index, token) in organisation.tokens.iter().enumerate() {
            tokens.unique(&digests.index(index), token, short::digest(token));
        }
        models(context, &path, organisation);
        services(context, &path, organisation);
        counts(context, &path, organisation);
    }
}

fn models(context: &Context<'_>, path: &Path<'_>, organisation: &Organisation) {
    let list = path.key("models");
    let half = organisation.half.as_str();
    distinct(context, &list, &organisation.models);
    for (index, model) in organisation.models.iter().enumerate() {
        let path = list.index(index);
        if !context.names.models.contains(model.as_str()) {
            let expected = "one of the models of this document";
            context.source.fault(&path, model, expected);
        } else if !context.names.served.contains(&(half, model.as_str())) {
            let expected = format_args!("a model that an engine of half {half} serves");
            context.source.fault(&path, model, expected);
        }
    }
}

fn services(context: &Context<'_>, path: &Path<'_>, organisation: &Organisation) {
    let list = path.key("services");
    let half = organisation.half.as_str();
    distinct(context, &list, &organisation.services);
    for (index, service) in organisation.services.iter().enumerate() {
        let path = list.index(index);
        match context.names.services.get(service.as_str()) {
            None => {
                let expected = "one of the services of this document";
                context.source.fault(&path, service, expected);
            }
            Some(found) if *found != half && !found.is_empty() => {
                let expected = format_args!("a service of half {half}");
                let found = format_args!("{service}, a service of half {found}");
                context.source.fault(&path, found, expected);
            }
            Some(_) => {}
        }
    }
}

fn counts(context: &Context<'_>, path: &Path<'_>, organisation: &Organisation) {
    let Organisation {
        rate,
        concurrency,
        weight,
        ..
    } = *organisation;
    let positive = rate.per_second() > 0.0;
    context.ensure(positive, &path.key("rate"), rate, "a rate above 0/s");
    let expected = "at least 1 request";
    context.ensure(
        concurrency > 0,
        &path.key("concurrency"),
        concurrency,
        expected,
    );
    context.ensure(weight > 0, &path.key("weight"), weight, "at least 1");
}

/// Reports names that stand in one list twice.
fn distinct<T: Display + Eq + Hash>(context: &Context<'_>, list: &Path<'_>, names: &[T]) {
    // Most lists hold a few names, and 26,000 hash tables cost more than they save.
    for (index, name) in names.iter().enumerate() {
        if names[..index].contains(name) {
            let expected = "each name once";
            context.source.fault(&list.index(index), name, expected);
        }
    }
}

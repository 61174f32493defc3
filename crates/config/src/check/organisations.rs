//! Checks of organisations.

use core::fmt::Display;
use core::hash::Hash;

use crate::abbreviation;
use crate::check::Context;
use crate::check::uniqueness::Uniqueness;
use crate::check::valid_parts;
use crate::document::Organisation;
use crate::path::Path;

pub(crate) fn check(context: &Context<'_>) {
    let mut names = Uniqueness::new(context.source);
    let mut tokens = Uniqueness::new(context.source);
    let list = Path::root("organisation");
    for (index, organisation) in valid_parts(&context.draft.organisations) {
        let path = list.index(index);
        names.check(&path.key("name"), &organisation.name, &organisation.name);
        context.ensure_half(&path.key("half"), organisation.half.as_str());
        let digests = path.key("tokens");
        let some = !organisation.tokens.is_empty();
        context.ensure(some, &digests, "an empty list", "at least one token digest");
        for (index, token) in organisation.tokens.iter().enumerate() {
            tokens.check(&digests.index(index), token, abbreviation::digest(token));
        }
        check_models(context, &path, organisation);
        check_services(context, &path, organisation);
        check_limits(context, &path, organisation);
    }
}

fn check_models(context: &Context<'_>, path: &Path<'_>, organisation: &Organisation) {
    let list = path.key("models");
    let half = organisation.half.as_str();
    check_distinct(context, &list, &organisation.models);
    for (index, model) in organisation.models.iter().enumerate() {
        let path = list.index(index);
        if !context.names.models.contains(model.as_str()) {
            let expected = "one of the models of this document";
            context.source.report(&path, model, expected);
        } else if !context
            .names
            .served_models
            .contains(&(half, model.as_str()))
        {
            let expected = format_args!("a model that an engine of half {half} serves");
            context.source.report(&path, model, expected);
        }
    }
}

fn check_services(context: &Context<'_>, path: &Path<'_>, organisation: &Organisation) {
    let list = path.key("services");
    let half = organisation.half.as_str();
    check_distinct(context, &list, &organisation.services);
    for (index, service) in organisation.services.iter().enumerate() {
        let path = list.index(index);
        match context.names.services.get(service.as_str()) {
            None => {
                let expected = "one of the services of this document";
                context.source.report(&path, service, expected);
            }
            Some(found) if *found != half && !found.is_empty() => {
                let expected = format_args!("a service of half {half}");
                let found = format_args!("{service}, a service of half {found}");
                context.source.report(&path, found, expected);
            }
            Some(_) => {}
        }
    }
}

fn check_limits(context: &Context<'_>, path: &Path<'_>, organisation: &Organisation) {
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

/// Reports duplicate names in a list.
fn check_distinct<T: Display + Eq + Hash>(context: &Context<'_>, list: &Path<'_>, names: &[T]) {
    // Most lists have a few names, and creating 26,000 hash tables costs more than it saves.
    for (index, name) in names.iter().enumerate() {
        if names[..index].contains(name) {
            let expected = "each name once";
            context.source.report(&list.index(index), name, expected);
        }
    }
}

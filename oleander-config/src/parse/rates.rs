//! The section `rates`.

use crate::fields::Bounds;
use crate::fields::Fields;
use crate::fields::Located;
use crate::fields::read_digits;
use crate::model::Rate;
use crate::names::Names;
use crate::names::Scope;
use crate::nodes::Data;
use crate::nodes::Node;
use crate::parse::Drafts;
use crate::parse::Reference;
use crate::parse::Target;
use crate::problems::Problem;
use crate::problems::Site;

/// The bounds of a rate in requests a second, and of a burst in requests.
const REQUESTS: Bounds = Bounds { least: 1, most: 10_000_000 };

/// Reads the rate of one workspace.
pub(crate) fn read(
    node: &Node,
    site: Site,
    drafts: &mut Drafts,
    names: &mut Names,
    problems: &mut Vec<Problem>,
) {
    let Some(fields) = Fields::open(node, site, &["workspace", "rate", "burst"], problems) else {
        return;
    };
    let workspace = fields.name("workspace", problems);
    if let Some(name) = &workspace {
        names.define(Scope::Rates, name, problems);
        drafts.references.push(Reference { target: Target::Workspace, name: name.clone() });
    }
    let rate = read_rate(&fields, problems);
    let burst = fields.number("burst", REQUESTS, problems);
    let (Some(workspace), Some(rate), Some(burst)) = (workspace, rate, burst) else {
        return;
    };
    let value = Rate { workspace: workspace.value, rate, burst };
    drafts.rates.push(Located { value, site: fields.site });
}

/// Reads `50/s` or `{per_second: 50}`.
fn read_rate(fields: &Fields<'_>, problems: &mut Vec<Problem>) -> Option<u32> {
    let (node, site) = fields.required("rate", problems)?;
    if let Data::Mapping(_) = node.data {
        let inner = Fields::open(node, site, &["per_second"], problems)?;
        return inner.number("per_second", REQUESTS, problems);
    }
    let Data::Plain(text) = &node.data else {
        problems.push(site.problem("expected a rate such as 50/s"));
        return None;
    };
    match text.split_once('/') {
        Some((count, "s")) => read_digits(count, &site, REQUESTS, problems),
        Some(_) => {
            problems.push(site.problem("the unit of a rate is /s"));
            None
        }
        None => {
            problems.push(site.problem("a rate needs its unit, such as 50/s"));
            None
        }
    }
}

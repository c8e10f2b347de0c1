//! Checks that no workspace ran more than its burst and rate allow, in any window.

use std::collections::HashMap;

use oleander_core::verdict::Verdict;

use crate::history::lines::History;
use crate::history::lines::RateLimit;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// The microseconds of a second.
const SECOND: i128 = 1_000_000;

/// Checks all workspaces that have a rate.
///
/// A call is let in at some time between its sending and its answer, so only
/// calls that lie wholly in a window count in it. Each call that ran counts as
/// one request, which is the least that it cost.
pub(crate) fn check(history: &History, found: &mut Vec<Violation>) {
    let mut spans: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
    for call in history.calls.iter().filter(|call| call.outcome.verdict() == Verdict::Ran) {
        spans.entry(&call.workspace).or_default().push((call.invoked, call.answered));
    }
    for limit in &history.rates {
        let spans = spans.remove(limit.workspace.as_str()).unwrap_or_default();
        if let Some(window) = exceeded(limit, spans) {
            let detail = format!("workspace {}: {window}", limit.workspace);
            found.push(Violation::of_run(Kind::RateExceeded, detail));
        }
    }
}

/// Finds a window whose calls exceed burst + rate × length, in n log n steps.
///
/// The windows end at each answer in turn. The tree holds for each possible
/// start the calls that lie between it and the current end, plus rate × start,
/// so that its greatest entry belongs to the worst window.
fn exceeded(limit: &RateLimit, mut spans: Vec<(u64, u64)>) -> Option<String> {
    let rate = i128::from(limit.rate);
    let mut starts: Vec<u64> = spans.iter().map(|(invoked, _)| *invoked).collect();
    starts.sort_unstable();
    starts.dedup();
    spans.sort_unstable_by_key(|(_, answered)| *answered);
    let mut tree = SuffixTree::new(starts.len());
    for (invoked, answered) in spans {
        let at = starts.partition_point(|start| *start < invoked);
        tree.add(at, rate * i128::from(invoked), SECOND);
        let excess = tree.greatest() - rate * i128::from(answered);
        if i128::from(limit.burst) * SECOND < excess {
            let over = excess / SECOND - i128::from(limit.burst);
            return Some(format!(
                "about {over} calls too many in a window that ends at {answered}"
            ));
        }
    }
    None
}

/// The entry of a place that got no value; far below any other.
const UNUSED: i128 = i128::MIN / 2;

/// `SuffixTree` keeps the greatest of `base[i] + sum(added[i..])` over the places that got a value.
struct SuffixTree {
    size: usize,
    nodes: Vec<Node>,
}

#[derive(Clone, Copy)]
struct Node {
    sum: i128,
    greatest: i128,
}

impl SuffixTree {
    fn new(length: usize) -> Self {
        let size = length.next_power_of_two();
        Self { size, nodes: vec![Node { sum: 0, greatest: UNUSED }; 2 * size] }
    }

    fn add(&mut self, at: usize, base: i128, value: i128) {
        let mut at = self.size + at;
        let sum = self.nodes[at].sum + value;
        self.nodes[at] = Node { sum, greatest: base + sum };
        while 1 < at {
            at /= 2;
            self.update(at);
        }
    }

    fn greatest(&self) -> i128 {
        self.nodes[1].greatest
    }

    fn update(&mut self, at: usize) {
        let (left, right) = (self.nodes[2 * at], self.nodes[2 * at + 1]);
        let greatest = right.greatest.max(left.greatest + right.sum);
        self.nodes[at] = Node { sum: left.sum + right.sum, greatest };
    }
}

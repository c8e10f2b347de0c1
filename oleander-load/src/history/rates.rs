//! Checks that no workspace exceeded its rate limit in any time window.

use std::collections::HashMap;

use oleander_core::verdict::Verdict;

use crate::history::lines::History;
use crate::history::lines::RateLimit;
use crate::history::violations::Kind;
use crate::history::violations::Violation;

/// The number of microseconds in a second.
const MICROS_PER_SECOND: i128 = 1_000_000;

/// Checks all workspaces that have a rate limit.
///
/// A call is admitted at an unknown time between its sending and its answer, so a window counts
/// only the calls that lie entirely in it. Each call that ran counts as one request, the minimum
/// that it was charged.
pub(crate) fn check(history: &History, found: &mut Vec<Violation>) {
    let mut spans: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
    for call in history.calls.iter().filter(|call| call.outcome.verdict() == Verdict::Ran) {
        spans.entry(&call.workspace).or_default().push((call.invoked, call.answered));
    }
    for limit in &history.rates {
        let spans = spans.remove(limit.workspace.as_str()).unwrap_or_default();
        if let Some(window) = find_excess(limit, spans) {
            let detail = format!("workspace {}: {window}", limit.workspace);
            found.push(Violation::of_run(Kind::RateExceeded, detail));
        }
    }
}

/// Finds a window with more than burst + rate × length calls, in n log n time; `None` if there is
/// none.
///
/// Considers the windows that end at each answer in turn. For each possible start of the window,
/// the tree holds the number of calls between it and the current end, plus rate × start, so its
/// maximum belongs to the window that exceeds the limit most.
fn find_excess(limit: &RateLimit, mut spans: Vec<(u64, u64)>) -> Option<String> {
    let rate = i128::from(limit.rate);
    let mut starts: Vec<u64> = spans.iter().map(|(invoked, _)| *invoked).collect();
    starts.sort_unstable();
    starts.dedup();
    spans.sort_unstable_by_key(|(_, answered)| *answered);
    let mut tree = SegmentTree::new(starts.len());
    for (invoked, answered) in spans {
        let index = starts.partition_point(|start| *start < invoked);
        tree.add(index, rate * i128::from(invoked), MICROS_PER_SECOND);
        let excess = tree.maximum() - rate * i128::from(answered);
        if i128::from(limit.burst) * MICROS_PER_SECOND < excess {
            let over = excess / MICROS_PER_SECOND - i128::from(limit.burst);
            return Some(format!(
                "about {over} calls too many in a window that ends at {answered}"
            ));
        }
    }
    None
}

/// The maximum of a node without values: far below any other, yet additions do not overflow.
const NO_VALUE: i128 = i128::MIN / 2;

/// `SegmentTree` maintains the maximum of `base[i] + sum(added[i..])` over the indices with a
/// value.
struct SegmentTree {
    leaf_count: usize,
    nodes: Vec<Node>,
}

#[derive(Clone, Copy)]
struct Node {
    sum: i128,
    maximum: i128,
}

impl SegmentTree {
    fn new(length: usize) -> Self {
        let leaf_count = length.next_power_of_two();
        Self { leaf_count, nodes: vec![Node { sum: 0, maximum: NO_VALUE }; 2 * leaf_count] }
    }

    fn add(&mut self, index: usize, base: i128, value: i128) {
        let mut index = self.leaf_count + index;
        let sum = self.nodes[index].sum + value;
        self.nodes[index] = Node { sum, maximum: base + sum };
        while 1 < index {
            index /= 2;
            self.update(index);
        }
    }

    fn maximum(&self) -> i128 {
        self.nodes[1].maximum
    }

    fn update(&mut self, index: usize) {
        let (left, right) = (self.nodes[2 * index], self.nodes[2 * index + 1]);
        let maximum = right.maximum.max(left.maximum + right.sum);
        self.nodes[index] = Node { sum: left.sum + right.sum, maximum };
    }
}

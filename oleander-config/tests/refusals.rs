//! Refusals: each invalid configuration is refused with section, path, line and reason.

use oleander_config::model::Section;
use oleander_config::problems::Problem;
use oleander_config::sections::MAX_SECTION_BYTES;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_config::sections::split_document;

const WORKSPACES: &str = "
- name: north
  keys:
    - {name: first, sha256: 1111111111111111111111111111111111111111111111111111111111111111}
  kinds: [{name: order, weight: 2}]
- name: south
  kinds: [{name: order}, {name: report}]
";

const RATES: &str = "
- {workspace: north, rate: 50/s, burst: 100}
";

const UPSTREAMS: &str = "
- name: orders
  slots: 2
  connections: 16
  instances:
    - {name: a, address: \"10.0.0.1:5432\", region: east, zone: east-1}
    - {name: b, address: \"10.0.0.2:5432\", region: west, zone: west-1}
";

const ROUTES: &str = "
- name: place
  class: place
  database: orders
  access: write
  kind: order
  audience: keyed
  deadline: 2s
";

/// `Case` replaces a piece of one section and states the expected problem.
struct Case {
    section: Section,
    piece: &'static str,
    replacement: &'static str,
    path: &'static str,
    line: usize,
    reason: &'static str,
}

const fn case(
    section: Section,
    piece: &'static str,
    replacement: &'static str,
    path: &'static str,
    line: usize,
    reason: &'static str,
) -> Case {
    Case { section, piece, replacement, path, line, reason }
}

const CASES: &[Case] = &[
    case(Section::Workspaces, "  keys:", "  keyz:", "workspaces[0].keyz", 3, "unknown field"),
    case(
        Section::Workspaces,
        "name: south",
        "name: north",
        "workspaces[1].name",
        6,
        "duplicate of workspaces[0].name in line 2",
    ),
    case(Section::Workspaces, "name: south", "name: so uth", "workspaces[1].name", 6, "a name has"),
    case(
        Section::Workspaces,
        "name: south",
        "nome: south",
        "workspaces[1]",
        6,
        "the field name is missing",
    ),
    case(
        Section::Workspaces,
        "sha256: 11",
        "sha256: 1",
        "workspaces[0].keys[0].sha256",
        4,
        "64 hexadecimal digits",
    ),
    case(
        Section::Workspaces,
        "weight: 2",
        "weight: 0",
        "workspaces[0].kinds[0].weight",
        5,
        "from 1 to 1000",
    ),
    case(
        Section::Workspaces,
        "weight: 2",
        "weight: \"2\"",
        "workspaces[0].kinds[0].weight",
        5,
        "found a quoted text",
    ),
    case(
        Section::Workspaces,
        "{name: report}",
        "{name: order}",
        "workspaces[1].kinds[1].name",
        7,
        "duplicate",
    ),
    case(
        Section::Workspaces,
        "  kinds: [{name: order}, {name: report}]",
        "  kinds: 7",
        "workspaces[1].kinds",
        7,
        "expected a list",
    ),
    case(
        Section::Workspaces,
        "- name: south",
        "- name: south\n  keys: [{name: x, sha256: 1111111111111111111111111111111111111111111111111111111111111111}]",
        "workspaces[1].keys[0].sha256",
        7,
        "duplicate of workspaces[0].keys[0].sha256 in line 4",
    ),
    case(Section::Rates, "50/s", "50", "rates[0].rate", 2, "needs its unit"),
    case(Section::Rates, "50/s", "50/m", "rates[0].rate", 2, "the unit of a rate is /s"),
    case(Section::Rates, "50/s", "0/s", "rates[0].rate", 2, "from 1 to"),
    case(Section::Rates, "50/s", "99999999999/s", "rates[0].rate", 2, "from 1 to"),
    case(Section::Rates, "50/s", "-5/s", "rates[0].rate", 2, "expected a whole number"),
    case(Section::Rates, "50/s", "{per_second: 0}", "rates[0].rate.per_second", 2, "from 1 to"),
    case(Section::Rates, "burst: 100", "burst: 0", "rates[0].burst", 2, "from 1 to"),
    case(
        Section::Rates,
        "workspace: north",
        "workspace: nowhere",
        "rates[0].workspace",
        2,
        "no workspace has the name nowhere",
    ),
    case(
        Section::Rates,
        "- {",
        "- {workspace: north, rate: 1/s, burst: 1}\n- {",
        "rates[1].workspace",
        3,
        "duplicate",
    ),
    case(Section::Upstreams, "slots: 2", "slots: 1", "upstreams[0].slots", 3, "from 2 to"),
    case(
        Section::Upstreams,
        "connections: 16",
        "connections: 1",
        "upstreams[0].connections",
        4,
        "from 2 to",
    ),
    case(
        Section::Upstreams,
        "slots: 2",
        "slots: 17",
        "upstreams[0]",
        2,
        "connections is below slots",
    ),
    case(
        Section::Upstreams,
        "slots: 2",
        "slots: 2\n  acknowledge: maybe",
        "upstreams[0].acknowledge",
        4,
        "known are replicated, primary",
    ),
    case(
        Section::Upstreams,
        "slots: 2",
        "slots: 2\n  leaving: yes",
        "upstreams[0].leaving",
        4,
        "true or false",
    ),
    case(
        Section::Upstreams,
        "10.0.0.2:5432",
        "db.example:5432",
        "upstreams[0].instances[1].address",
        7,
        "an IP address and a port",
    ),
    case(
        Section::Upstreams,
        "10.0.0.2",
        "10.0.0.1",
        "upstreams[0].instances[1].address",
        7,
        "duplicate",
    ),
    case(
        Section::Upstreams,
        "zone: west-1",
        "zone: east-1",
        "upstreams[0]",
        2,
        "stands in the regions east and west",
    ),
    case(
        Section::Routes,
        "class: place",
        "class: place\n  path: /v1/x",
        "routes[0]",
        2,
        "either class, or method and path",
    ),
    case(
        Section::Routes,
        "class: place",
        "method: FETCH\n  path: /v1/x",
        "routes[0].method",
        3,
        "the method is one of",
    ),
    case(
        Section::Routes,
        "class: place",
        "method: GET\n  path: x",
        "routes[0].path",
        4,
        "starts with /",
    ),
    case(
        Section::Routes,
        "class: place",
        "method: GET\n  path: /v1/transactions/7",
        "routes[0].path",
        4,
        "the proxy itself serves",
    ),
    case(
        Section::Routes,
        "database: orders",
        "database: nothing",
        "routes[0].database",
        4,
        "no upstream has the name nothing",
    ),
    case(
        Section::Routes,
        "access: write",
        "access: delete",
        "routes[0].access",
        5,
        "known are read, idempotent-write, write",
    ),
    case(
        Section::Routes,
        "kind: order",
        "kind: quote",
        "routes[0].kind",
        6,
        "no workspace has a kind",
    ),
    case(
        Section::Routes,
        "audience: keyed",
        "audience: all",
        "routes[0].audience",
        7,
        "expected keyed",
    ),
    case(
        Section::Routes,
        "audience: keyed",
        "audience: {open: nowhere}",
        "routes[0].audience.open",
        7,
        "no workspace has the name",
    ),
    case(
        Section::Routes,
        "audience: keyed",
        "audience: {only: []}",
        "routes[0].audience.only",
        7,
        "names no workspace",
    ),
    case(
        Section::Routes,
        "kind: order\n  audience: keyed",
        "kind: report\n  audience: {only: [north]}",
        "routes[0].kind",
        6,
        "the workspace north has no kind",
    ),
    case(Section::Routes, "deadline: 2s", "deadline: 2", "routes[0].deadline", 8, "needs a unit"),
    case(Section::Routes, "deadline: 2s", "deadline: 2h", "routes[0].deadline", 8, "ms or s"),
    case(
        Section::Routes,
        "deadline: 2s",
        "deadline: 0s",
        "routes[0].deadline",
        8,
        "must not be zero",
    ),
    case(Section::Routes, "deadline: 2s", "deadline: 61s", "routes[0].deadline", 8, "at most 60s"),
    case(
        Section::Routes,
        "deadline: 2s",
        "deadline: 2s\n  max_age: 2s",
        "routes[0].max_age",
        9,
        "only a read",
    ),
    case(
        Section::Routes,
        "deadline: 2s",
        "deadline: 2s\n  cost: 0",
        "routes[0].cost",
        9,
        "from 1 to",
    ),
    case(
        Section::Routes,
        "deadline: 2s",
        "deadline: 2s\n  cost: 101",
        "routes[0]",
        2,
        "beyond the burst 100",
    ),
    case(
        Section::Routes,
        "deadline: 2s",
        "deadline: 2s\n  priority: 8",
        "routes[0].priority",
        9,
        "from 0 to 7",
    ),
    case(
        Section::Workspaces,
        "- name: south",
        "- name: south\n  priority: low",
        "workspaces[1].priority",
        7,
        "whole number",
    ),
    case(
        Section::Routes,
        "deadline: 2s",
        "deadline: 2s\n  deadline: 3s",
        "routes[0].deadline",
        9,
        "given twice",
    ),
    case(Section::Routes, "class: place", "class: *a", "routes", 3, "malformed YAML"),
    case(
        Section::Routes,
        "class: place",
        "class: &a place",
        "routes",
        3,
        "anchors are not allowed",
    ),
    case(
        Section::Routes,
        "class: place",
        "class: !!str place",
        "routes",
        3,
        "tags are not allowed",
    ),
    case(
        Section::Routes,
        "class: place",
        "class: [[[[[[[[[[]]]]]]]]]]",
        "routes",
        3,
        "nested too deeply",
    ),
    case(Section::Routes, "class: place", "class: [", "routes", 4, "malformed YAML"),
];

fn sections() -> Vec<SectionText> {
    [
        (Section::Workspaces, WORKSPACES),
        (Section::Rates, RATES),
        (Section::Upstreams, UPSTREAMS),
        (Section::Routes, ROUTES),
    ]
    .map(|(section, text)| SectionText::new(section, text))
    .to_vec()
}

fn problems_of(texts: &[SectionText]) -> Vec<Problem> {
    parse_sections(texts).expect_err("the configuration was accepted")
}

#[test]
fn the_base_of_the_cases_is_accepted() {
    assert_eq!(parse_sections(&sections()).err(), None);
}

#[test]
fn invalid_configurations_are_refused_with_path_line_and_reason() {
    for case in CASES {
        let mut texts = sections();
        let text = texts.iter_mut().find(|text| text.section == case.section).unwrap();
        assert!(text.text.contains(case.piece), "no piece {}", case.piece);
        text.text = text.text.replacen(case.piece, case.replacement, 1);
        let problems = problems_of(&texts);
        let found = problems.iter().any(|problem| {
            problem.section == Some(case.section)
                && problem.path == case.path
                && problem.line == case.line
                && problem.reason.contains(case.reason)
        });
        assert!(found, "{} by {}: {problems:#?}", case.piece, case.replacement);
    }
}

#[test]
fn all_problems_are_reported_at_once() {
    let mut texts = sections();
    for (index, (piece, replacement)) in
        [("weight: 2", "weight: 0"), ("50/s", "50"), ("slots: 2", "slots: 0"), ("2s", "2h")]
            .into_iter()
            .enumerate()
    {
        texts[index].text = texts[index].text.replacen(piece, replacement, 1);
    }
    let sections: Vec<_> = problems_of(&texts).iter().map(|problem| problem.section).collect();
    assert_eq!(
        sections,
        [Section::Workspaces, Section::Rates, Section::Upstreams, Section::Routes].map(Some)
    );
}

#[test]
fn an_oversize_section_is_refused() {
    let mut texts = sections();
    texts[0].text.push_str(&" ".repeat(MAX_SECTION_BYTES));
    assert!(problems_of(&texts)[0].reason.contains("larger than"));
}

#[test]
fn a_document_with_unknown_or_repeated_sections_is_refused() {
    for (text, line, reason) in [
        ("rates: []\nroute: []\n", 2, "unknown section"),
        ("rates: []\nrates: []\n", 2, "given twice"),
        ("{rates: []}\n", 1, "beginning of a line"),
        ("- rates\n", 1, "expected the sections"),
    ] {
        let problems = split_document(text).expect_err(text);
        assert_eq!(problems[0].line, line, "{text}");
        assert!(problems[0].reason.contains(reason), "{text}: {problems:?}");
    }
}

#[test]
fn a_mapping_with_too_many_fields_is_refused() {
    let problems = split_document(&"a: \n".repeat(100_000)).unwrap_err();
    assert_eq!(problems.len(), 1);
    assert!(problems[0].reason.contains("too many fields"));
}

#[test]
fn problems_of_a_document_have_the_lines_of_its_file() {
    let text = "# Rates.\nrates:\n  - {workspace: north, rate: 50, burst: 1}\n";
    let problems = problems_of(&split_document(text).unwrap());
    assert_eq!(problems[0].line, 3);
}

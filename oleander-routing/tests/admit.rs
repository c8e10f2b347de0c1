//! Admission by route, key and audience.

use oleander_config::model::Audience;
use oleander_config::model::Consistency;
use oleander_config::model::Document;
use oleander_config::model::Key;
use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_config::model::Route;
use oleander_config::model::Workspace;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::Revision;
use oleander_core::ids::WorkspaceId;
use oleander_core::statement::Access;
use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_routing::admit;
use oleander_routing::admit::Currency;
use rstest::rstest;

const RYE: KeyHash = KeyHash([1; 32]);
const SPELT: KeyHash = KeyHash([2; 32]);
const UNKNOWN: KeyHash = KeyHash([3; 32]);

fn workspace(name: &str, hash: KeyHash) -> Workspace {
    let keys = vec![Key { name: "main".to_owned(), hash }];
    Workspace {
        name: name.to_owned(),
        keys,
        weight: 1,
        kinds: Vec::new(),
        priority: 0,
        regions: Vec::new(),
    }
}

fn route(class: &str, audience: Audience) -> Route {
    Route {
        name: class.to_owned(),
        matcher: Matcher::Class(class.to_owned()),
        database: "orders".to_owned(),
        access: Access::Read,
        kind: "order".to_owned(),
        audience,
        max_age: None,
        deadline: Span::from_secs(1),
        cost: 1,
        consistency: Consistency::Session,
        target_latency: Span::from_secs(1),
        priority: 0,
        regions: Vec::new(),
    }
}

fn snapshot() -> Snapshot {
    let document = Document {
        workspaces: vec![workspace("rye", RYE), workspace("spelt", SPELT)],
        routes: vec![
            route("open", Audience::Open("spelt".to_owned())),
            route("keyed", Audience::Keyed),
            route("only", Audience::Only(vec!["rye".to_owned()])),
        ],
        ..Document::default()
    };
    Snapshot::new(Revision(1), document)
}

/// `Case` is a request and the workspace that it is admitted for, or the code of the refusal.
#[derive(Clone, Copy)]
struct Case {
    class: &'static str,
    key: Option<KeyHash>,
    currency: Currency,
    admitted: Result<&'static str, RefusalCode>,
}

fn case(
    class: &'static str,
    key: Option<KeyHash>,
    admitted: Result<&'static str, RefusalCode>,
) -> Case {
    Case { class, key, currency: Currency::Current, admitted }
}

fn outdated(case: Case) -> Case {
    Case { currency: Currency::NotCurrent, ..case }
}

#[rstest]
#[case::open(case("open", None, Ok("spelt")))]
#[case::open_ignores_a_key(case("open", Some(RYE), Ok("spelt")))]
#[case::open_while_not_current(outdated(case("open", None, Ok("spelt"))))]
#[case::keyed(case("keyed", Some(RYE), Ok("rye")))]
#[case::no_key(case("keyed", None, Err(RefusalCode::KeyMissing)))]
#[case::unknown_key(case("keyed", Some(UNKNOWN), Err(RefusalCode::KeyRejected)))]
#[case::not_current(outdated(case("keyed", Some(RYE), Err(RefusalCode::NotCurrent))))]
#[case::in_audience(case("only", Some(RYE), Ok("rye")))]
#[case::not_in_audience(case("only", Some(SPELT), Err(RefusalCode::RouteForbidden)))]
#[case::no_route(case("none", Some(RYE), Err(RefusalCode::UnknownRoute)))]
fn a_request_is_admitted_by_route_and_key(#[case] case: Case) {
    let snapshot = snapshot();
    let matcher = Matcher::Class(case.class.to_owned());
    let admitted = admit::admit(&snapshot, case.currency, &matcher, case.key.as_ref());
    if let Err(refusal) = &admitted {
        assert_eq!(refusal.verdict, Verdict::NotRun);
    }
    let workspace = admitted.map(|admitted| admitted.workspace).map_err(|refusal| refusal.code);
    assert_eq!(workspace, case.admitted.map(WorkspaceId::from_name));
}

#[rstest]
#[case::still_valid("rye", Some(RYE), None)]
#[case::withdrawn("rye", Some(UNKNOWN), Some(RefusalCode::KeyRejected))]
#[case::other_workspace("rye", Some(SPELT), Some(RefusalCode::KeyRejected))]
#[case::open("spelt", None, None)]
#[case::workspace_gone("wheat", None, Some(RefusalCode::RouteForbidden))]
fn a_home_checks_the_key_again(
    #[case] workspace: &str,
    #[case] key: Option<KeyHash>,
    #[case] refused: Option<RefusalCode>,
) {
    let workspace = WorkspaceId::from_name(workspace);
    let checked = admit::recheck(&snapshot(), Currency::Current, workspace, key.as_ref());
    assert_eq!(checked.err().map(|refusal| refusal.code), refused);
}

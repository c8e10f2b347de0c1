//! Tests of answers with large rows, which hold memory at both VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oleander_core::budget::ByteBudget;
use oleander_core::budget::Holding;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::places::Regions;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_peer::client::PeerClient;
use oleander_peer::codec;
use oleander_peer::errors::Error;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::server;
use oleander_peer::traffic::Traffic;
use oleander_session::work::Freshness;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

const LIMIT: Span = Span::from_secs(20);
const ROW: usize = 64 << 10;

fn request(rows: usize) -> Request {
    Request::Home(Box::new(HomeRequest {
        statement: rows.to_string(),
        workspace: "rye".to_owned(),
        instance: "i-east".to_owned(),
        values: Vec::new(),
        work: Work::Read("loaf".to_owned()),
        scope: Scope::Single,
        freshness: Freshness::default(),
        limit: LIMIT,
        patience: LIMIT,
        rest: LIMIT,
        level: Level::FIRST,
        regions: Regions::default(),
        charge: None,
    }))
}

fn answer(rows: usize) -> HomeAnswer {
    let point = Some(LogPoint { term: Term(3), position: Position(70_000) });
    let rows = vec!["r".repeat(ROW); rows];
    HomeAnswer { rows, signature: "i-east.7".to_owned(), point, ..HomeAnswer::default() }
}

/// Starts a server that answers each request with as many rows as its statement tells, and holds their
/// size from `budget`.
async fn start_server(budget: Arc<ByteBudget>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        let _stop = stop;
        let answer_rows = move |incoming: server::Incoming| {
            let mut holding = Holding::new(budget.clone());
            async move {
                let Request::Home(request) = incoming.request else { return };
                let rows = request.statement.parse().unwrap();
                assert!(holding.raise(rows * ROW));
                let mut reply = Reply::Home(Ok(answer(rows)));
                reply.hold(holding.into());
                let _ = incoming.responder.send(reply).await;
            }
        };
        server::serve(listener, stopped, Traffic::default(), answer_rows).await;
    });
    address
}

async fn wait_for_use(budget: &ByteBudget, wanted: impl Fn(usize) -> bool) {
    let waiting = async {
        while !wanted(budget.used()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = tokio::time::timeout(Duration::from_secs(15), waiting).await;
    assert!(ended.is_ok(), "{} bytes are held", budget.used());
}

/// Guards against answers of other VMs that are held without a bound, and against one that is refused
/// although there is room.
#[rstest]
#[case::short(0, 0)]
#[case::long(40, 40)]
#[tokio::test]
async fn an_answer_holds_its_size_until_it_is_dropped(#[case] rows: usize, #[case] held: usize) {
    let home = ByteBudget::new(64 * ROW);
    let address = start_server(home.clone()).await;
    let budget = ByteBudget::new(64 * ROW);
    let client = PeerClient::default().with_answers(budget.clone());
    let reply = client.call(address, &request(rows), LIMIT).await.unwrap();
    assert_eq!(reply, Reply::Home(Ok(answer(rows))));
    assert_eq!(budget.used() / ROW, held);
    drop(reply);
    assert_eq!(budget.used(), 0);
    wait_for_use(&home, |used| used == 0).await;
}

/// Guards against an answer that is held for although it does not fit, and against a connection that is
/// stuck with its rest.
#[tokio::test]
async fn an_answer_without_room_is_given_up_and_the_next_one_is_served() {
    let home = ByteBudget::new(256 * ROW);
    let address = start_server(home.clone()).await;
    let budget = ByteBudget::new(20 * ROW);
    let client = PeerClient::default().with_answers(budget.clone());
    for _ in 0..20 {
        let given_up = client.call(address, &request(40), LIMIT).await;
        assert!(matches!(given_up, Err(Error::NoRoom(_))), "{given_up:?}");
        assert_eq!(budget.used(), 0);
    }
    let reply = client.call(address, &request(10), LIMIT).await;
    assert_eq!(reply, Ok(Reply::Home(Ok(answer(10)))));
    wait_for_use(&home, |used| used == 0).await;
}

/// Guards against a home that counts the rows of an answer as gone while it still keeps them for a VM
/// that does not read, and against one that keeps them for good.
#[rstest]
#[case::is_reset(true)]
#[case::is_given_up(false)]
#[tokio::test]
async fn a_home_holds_an_answer_while_the_other_vm_may_read_it(#[case] is_reset: bool) {
    let home = ByteBudget::new(256 * ROW);
    let address = start_server(home.clone()).await;
    // A raw connection whose window is never opened again.
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut sender = sender.ready().await.unwrap();
    let head = http::Request::post("http://peer/oleander").body(()).unwrap();
    let (response, mut body) = sender.send_request(head, false).unwrap();
    body.send_data(codec::encode(&request(40)).unwrap(), true).unwrap();
    let unread = response.await.unwrap().into_body();
    wait_for_use(&home, |used| used == 40 * ROW).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(home.used(), 40 * ROW);
    let unread = (unread, body);
    let _unread = (!is_reset).then_some(unread);
    wait_for_use(&home, |used| used == 0).await;
}

/// The answer of a home as the build before sends it.
#[derive(serde::Serialize, serde::Deserialize)]
struct FormerAnswer {
    rows: Vec<String>,
    signature: String,
    point: Option<LogPoint>,
    transaction: Option<oleander_core::ids::TransactionId>,
    queued: Span,
    horizon: Horizon,
}

/// Guards against an answer that VMs of the build before cannot read, or that they send and this build
/// cannot read.
#[test]
fn answers_have_the_bytes_of_the_build_before() {
    let HomeAnswer { rows, signature, point, transaction, queued, horizon, .. } = answer(2);
    let former = FormerAnswer { rows, signature, point, transaction, queued, horizon };
    let former = codec::encode(&Ok::<_, Refusal>(former)).unwrap();
    let now = codec::encode(&Ok::<_, Refusal>(answer(2))).unwrap();
    assert_eq!(former, now);
    let mut buffer = codec::FrameBuffer::default();
    buffer.extend(&former).unwrap();
    assert_eq!(buffer.take(), Ok(Some(Ok::<_, Refusal>(answer(2)))));
}

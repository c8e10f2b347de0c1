//! Measures the time to decode, merge and encode session tokens.

use divan::Bencher;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::WorkspaceId;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_session::codec;
use oleander_session::token::SeenPoint;
use oleander_session::token::Token;

fn main() {
    divan::main();
}

const WORKSPACE: WorkspaceId = WorkspaceId(0x1234_5678_9abc_def0);

fn token(marks: u64) -> Token {
    let mut token = Token::new(WORKSPACE);
    for at in 0..marks {
        let point = LogPoint { term: Term(3), position: Position(1_000_000 + at) };
        let database = DatabaseId::from_name(&format!("orders-{at}"));
        token.observe(database, SeenPoint { point, durable: true }).unwrap();
    }
    token
}

#[divan::bench(args = [1, 3, 64])]
fn decode(bencher: Bencher<'_, '_>, marks: u64) {
    let text = codec::encode(&token(marks)).unwrap();
    bencher.bench(|| codec::decode_all(WORKSPACE, [divan::black_box(text.as_str())]));
}

#[divan::bench(args = [1, 3, 64])]
fn encode(bencher: Bencher<'_, '_>, marks: u64) {
    let token = token(marks);
    bencher.bench(|| codec::encode(divan::black_box(&token)));
}

#[divan::bench]
fn decode_and_merge_three(bencher: Bencher<'_, '_>) {
    let texts = [1, 2, 3].map(|marks| codec::encode(&token(marks)).unwrap());
    bencher.bench(|| codec::decode_all(WORKSPACE, texts.iter().map(String::as_str)));
}

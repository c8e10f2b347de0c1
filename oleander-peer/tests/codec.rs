//! Tests of the frame codec: split frames and malformed input.

use oleander_peer::codec;
use oleander_peer::codec::FrameBuffer;
use oleander_peer::errors::Error;
use oleander_peer::messages::ProxyReport;
use oleander_peer::messages::Request;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

fn request() -> Request {
    Request::Report(ProxyReport { open: 3, ..ProxyReport::default() })
}

#[test]
fn a_frame_in_pieces_decodes_to_the_message() {
    let frame = codec::encode(&request()).expect("the message fits");
    let mut buffer = FrameBuffer::default();
    for byte in &frame[..frame.len() - 1] {
        buffer.extend(&[*byte]).expect("the frame is short");
        assert_eq!(buffer.take::<Request>(), Ok(None));
    }
    buffer.extend(&frame[frame.len() - 1..]).expect("the frame is short");
    assert_eq!(buffer.take(), Ok(Some(request())));
    assert!(buffer.is_empty());
}

struct Malformed {
    name: &'static str,
    bytes: Vec<u8>,
}

#[test]
fn malformed_frames_give_a_decode_error() {
    let good = codec::encode(&request()).expect("the message fits").to_vec();
    let mut other_version = good.clone();
    other_version[0] = 99;
    let mut spare_byte = good;
    spare_byte[4] += 1;
    spare_byte.push(0);
    let cases = [
        Malformed { name: "other version", bytes: other_version },
        Malformed {
            name: "length over the limit",
            bytes: vec![codec::VERSION, 0xff, 0xff, 0xff, 0xff],
        },
        Malformed { name: "unknown variant", bytes: vec![codec::VERSION, 0, 0, 0, 1, 0xf0] },
        Malformed { name: "bytes left over", bytes: spare_byte },
    ];
    for case in cases {
        let mut buffer = FrameBuffer::default();
        buffer.extend(&case.bytes).expect("the bytes fit");
        assert!(matches!(buffer.take::<Request>(), Err(Error::Decode(_))), "{}", case.name);
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut framed = vec![codec::VERSION];
        framed.extend((bytes.len() as u32).to_be_bytes());
        framed.extend(&bytes);
        let mut buffer = FrameBuffer::default();
        buffer.extend(&framed).expect("the bytes fit");
        let _ = buffer.take::<Request>();
    }
}

//! The log's output with a reader that stalls.

use std::io::BufRead as _;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use oleander_runtime::output::BoundedOutput;
use oleander_runtime::output::MAX_LINE;

/// More lines than a pipe holds.
const FLOOD: usize = 20_000;

fn line(at: usize) -> Vec<u8> {
    format!("{{\"message\":\"line\",\"at\":{at}}}").into_bytes()
}

#[test]
fn a_flood_with_a_stalled_reader_goes_on_and_is_counted() {
    let (reader, writer) = std::io::pipe().unwrap();
    let output = BoundedOutput::new(writer);
    let started = Instant::now();
    for at in 0..FLOOD {
        output.write(line(at));
    }
    assert!(started.elapsed() < Duration::from_secs(10), "the writer waited for the reader");
    let lost = output.lost() as usize;
    assert!(0 < lost);
    let mut lines = BufReader::new(reader).lines();
    for at in 0..FLOOD - lost {
        let read = lines.next().unwrap().unwrap();
        assert_eq!(read.into_bytes(), line(at), "what was written is whole and in order");
    }
    output.write(line(FLOOD));
    let told = lines.next().unwrap().unwrap();
    assert!(
        told.contains("log-lines-lost") && told.contains(&format!("\"lost\":{lost}")),
        "{told}"
    );
    assert_eq!(lines.next().unwrap().unwrap().into_bytes(), line(FLOOD));
    assert_eq!(output.lost(), 0);
}

#[test]
fn a_line_that_is_too_long_is_left_out() {
    let (_reader, writer) = std::io::pipe().unwrap();
    let output = BoundedOutput::new(writer);
    output.write(vec![b'x'; MAX_LINE]);
    assert_eq!(output.lost(), 1);
}

#[test]
fn a_reader_that_has_gone_costs_lines_only() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let output = BoundedOutput::new(writer);
    output.write(line(1));
    assert_eq!(output.lost(), 1);
}

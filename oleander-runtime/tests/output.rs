//! Log output to a pipe whose reader stalls or has closed its end.

use std::io::BufRead as _;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use oleander_runtime::output::BoundedOutput;
use oleander_runtime::output::MAX_LINE_BYTES;

/// The number of lines written without a read; more than a pipe buffers.
const LINE_COUNT: usize = 20_000;

fn line(number: usize) -> Vec<u8> {
    format!("{{\"message\":\"line\",\"at\":{number}}}").into_bytes()
}

#[test]
fn stalled_reader_does_not_block_and_dropped_lines_are_counted() {
    let (reader, writer) = std::io::pipe().unwrap();
    let output = BoundedOutput::new(writer);
    let started = Instant::now();
    for number in 0..LINE_COUNT {
        output.write(line(number));
    }
    assert!(started.elapsed() < Duration::from_secs(10), "the writer waited for the reader");
    let lost = output.lost() as usize;
    assert!(0 < lost);
    let mut lines = BufReader::new(reader).lines();
    for number in 0..LINE_COUNT - lost {
        let read = lines.next().unwrap().unwrap();
        assert_eq!(read.into_bytes(), line(number), "the written lines are complete and in order");
    }
    output.write(line(LINE_COUNT));
    let report = lines.next().unwrap().unwrap();
    assert!(
        report.contains("log-lines-lost") && report.contains(&format!("\"lost\":{lost}")),
        "{report}"
    );
    assert_eq!(lines.next().unwrap().unwrap().into_bytes(), line(LINE_COUNT));
    assert_eq!(output.lost(), 0);
}

#[test]
fn overlong_line_is_dropped() {
    let (_reader, writer) = std::io::pipe().unwrap();
    let output = BoundedOutput::new(writer);
    output.write(vec![b'x'; MAX_LINE_BYTES]);
    assert_eq!(output.lost(), 1);
}

#[test]
fn closed_reader_only_causes_dropped_lines() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let output = BoundedOutput::new(writer);
    output.write(line(1));
    assert_eq!(output.lost(), 1);
}

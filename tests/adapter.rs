//! The adapter as a process: it exits successfully at the end of input and reports malformed input as an
//! error with its line number.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hopmoor-drill"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn the_adapter_succeeds_at_the_end_of_its_input() {
    let output = run("{\"nowMs\":1.5,\"items\":[]}\n\n{\"nowMs\":2,\"items\":[],\"news\":1}\n");
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, b"{\"output\":[]}\n{\"output\":[]}\n");
}

#[test]
fn malformed_input_gives_one_error_line_and_no_partial_reply() {
    let output = run("{\"nowMs\":1,\"items\":[]}\n{\"nowMs\":2,\"items\":[{\"ASK\":{}}]}\n");
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(error.contains("line 2: ") && error.contains("relay") && error.lines().count() == 1, "{error}");
    assert_eq!(output.stdout, b"{\"output\":[]}\n");
}

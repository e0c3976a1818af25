//! Runs the program as an operator does: the demo and the commands on its records, wrong input, damaged
//! records.

use std::path::Path;
use std::process::{Command, Output, Stdio};

fn ops(args: &[&str], folder: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hopmoor-ops")).args(args).current_dir(folder).output().unwrap()
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn records_of_a_demo_are_verified_reported_and_exported() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path();
    let plan = ops(&["demo", "--print-plan"], dir);
    let plan = stdout_text(&plan).replace("\"until_ms\": 600000.0", "\"until_ms\": 100000.0");
    // The plan ends at 100 s, and a script must not go on after its end.
    let mut plan: serde_json::Value = serde_json::from_str(&plan).unwrap();
    let script = plan["script"].as_array_mut().unwrap();
    script.retain(|act| act["at_ms"].as_f64().unwrap() < 100_000.0);
    std::fs::write(dir.join("plan.json"), plan.to_string()).unwrap();
    let demo = ops(&["demo", "try", "--plan", "plan.json", "--truth"], dir);
    assert!(demo.status.success() && stdout_text(&demo).contains("report try/n-1 try/n-2"), "{demo:?}");
    assert!(!ops(&["demo", "try"], dir).status.success(), "an existing folder is not written into");

    let verify = ops(&["records", "verify", "try/n-1", "try/n-2"], dir);
    assert!(verify.status.success() && stdout_text(&verify).contains("1 run(s)"), "{verify:?}");

    let report = ops(&["report", "try/n-1", "try/n-2", "-o", "r.html"], dir);
    assert!(report.status.success() && stdout_text(&report).contains("of the service lost"), "{report:?}");
    let page = std::fs::read_to_string(dir.join("r.html")).unwrap();
    assert!(page.contains("member s-3 was sent work and answered nothing") && page.ends_with("</html>"));
    assert!(
        !page.contains("http://") && !page.contains("https://") && !page.contains("<script"),
        "self-contained"
    );
    let json = ops(&["report", "try/n-1", "try/n-2", "--json"], dir);
    let findings: serde_json::Value = serde_json::from_str(&stdout_text(&json)).unwrap();
    assert_eq!(findings["incidents"][0]["subject"], "s-3");

    let export = ops(
        &["records", "export", "try/n-1", "--kind", "flow", "--from", "14:14:20", "--to", "14:14:40"],
        dir,
    );
    let lines: Vec<serde_json::Value> =
        stdout_text(&export).lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert!(lines.iter().any(|line| line["member"] == "s-3" && line["outcome"] == "timed_out"), "{lines:?}");
    assert!(
        lines
            .iter()
            .all(|line| line["kind"] == "flow"
                && line["at"].as_str().unwrap().starts_with("2026-09-21T14:14:"))
    );
    let csv = ops(&["records", "export", "try/n-1", "try/n-2", "--format", "csv"], dir);
    let text = stdout_text(&csv);
    let columns = text.lines().next().unwrap().split(',').count();
    let mut table = csv::Reader::from_reader(text.as_bytes());
    assert!(table.records().all(|row| row.unwrap().len() == columns) && text.lines().count() > 1_000);
}

#[test]
fn verify_lists_damage_and_exits_with_1() {
    let folder = tempfile::tempdir().unwrap();
    assert!(ops(&["demo", "try", "--seed", "3"], folder.path()).status.success());
    let segment = folder.path().join("try/n-2/records-00000001.rec");
    let mut bytes = std::fs::read(&segment).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&segment, &bytes).unwrap();
    std::fs::write(folder.path().join("try/n-2/records-00000002.rec"), b"not ours").unwrap();
    let verify = ops(&["records", "verify", "try/n-2"], folder.path());
    assert_eq!(verify.status.code(), Some(1));
    assert!(
        stdout_text(&verify).contains("damaged at byte")
            && stdout_text(&verify).contains("not a segment of records")
    );
    let report = ops(&["report", "try/n-2"], folder.path());
    assert!(report.status.success() && stdout_text(&report).contains("What the records do not tell"));
}

#[test]
fn wrong_input_gives_an_error_of_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path();
    std::fs::create_dir(dir.join("empty")).unwrap();
    std::fs::write(dir.join("bad.json"), "{\"seed\":1}").unwrap();
    for (args, wanted) in [
        (&["report", "nowhere"][..], "nowhere"),
        (&["report", "empty"], "empty: no records in it"),
        (&["records", "verify", "empty"], "no records"),
        (&["console", "nowhere"], "nowhere"),
        (&["demo", "x", "--plan", "bad.json"], "bad.json: missing field"),
        (&["demo", "a/b/c"], "a/b/c"),
    ] {
        let output = ops(args, dir);
        let message = stderr_text(&output);
        assert_eq!(output.status.code(), Some(1), "{args:?}");
        assert!(message.contains(wanted) && message.lines().count() == 1, "{args:?}: {message}");
    }
    for args in
        [&["records", "export", "empty", "--kind", "flows"][..], &["console", "empty", "--speed", "0"], &[]]
    {
        assert_eq!(ops(args, dir).status.code(), Some(2), "{args:?}");
    }
    let plan = stdout_text(&ops(&["demo", "--print-plan"], dir))
        .replace("\"member\": \"s-3\"", "\"member\": \"s-99\"");
    std::fs::write(dir.join("plan.json"), plan).unwrap();
    let output = ops(&["demo", "x", "--plan", "plan.json"], dir);
    assert!(stderr_text(&output).contains("script: no member s-99"), "{output:?}");
    assert!(!dir.join("x").exists());
}

#[test]
fn help_and_completions_name_every_command() {
    let folder = tempfile::tempdir().unwrap();
    let help = stdout_text(&ops(&["--help"], folder.path()));
    for command in ["records", "report", "console", "demo", "completions"] {
        assert!(help.contains(command), "{help}");
        assert!(ops(&[command, "--help"], folder.path()).status.success());
    }
    assert!(help.lines().all(|line| line.chars().count() <= 100));
    for shell in ["bash", "zsh", "fish"] {
        assert!(stdout_text(&ops(&["completions", shell], folder.path())).contains("export"));
    }
}

/// A reader such as `head` closes the pipe before the export is complete; that is not an error.
#[test]
fn an_export_into_a_closed_pipe_exits_without_an_error() {
    let folder = tempfile::tempdir().unwrap();
    assert!(ops(&["demo", "try"], folder.path()).status.success());
    let mut child = Command::new(env!("CARGO_BIN_EXE_hopmoor-ops"))
        .args(["records", "export", "try/n-1"])
        .current_dir(folder.path())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert!(output.status.success() && output.stderr.is_empty(), "{output:?}");
}

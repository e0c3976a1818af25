//! The program as its users meet it: first use, wrong input, damaged records.
use std::path::Path;
use std::process::{Command, Output, Stdio};

fn ops(args: &[&str], folder: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hopmoor-ops")).args(args).current_dir(folder).output().unwrap()
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn complained(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn from_a_demo_to_a_report_and_back_to_its_records() {
    let folder = tempfile::tempdir().unwrap();
    let here = folder.path();
    let plan = ops(&["demo", "--print-plan"], here);
    let plan = told(&plan).replace("\"until_ms\": 600000.0", "\"until_ms\": 100000.0");
    // What comes later than that is left out of the script.
    let mut plan: serde_json::Value = serde_json::from_str(&plan).unwrap();
    let script = plan["script"].as_array_mut().unwrap();
    script.retain(|act| act["at_ms"].as_f64().unwrap() < 100_000.0);
    std::fs::write(here.join("plan.json"), plan.to_string()).unwrap();
    let demo = ops(&["demo", "try", "--plan", "plan.json", "--truth"], here);
    assert!(demo.status.success() && told(&demo).contains("report try/n-1 try/n-2"), "{demo:?}");
    assert!(!ops(&["demo", "try"], here).status.success(), "a folder that is there is not written into");

    let verify = ops(&["records", "verify", "try/n-1", "try/n-2"], here);
    assert!(verify.status.success() && told(&verify).contains("1 run(s)"), "{verify:?}");

    let report = ops(&["report", "try/n-1", "try/n-2", "-o", "r.html"], here);
    assert!(report.status.success() && told(&report).contains("of the service lost"), "{report:?}");
    let page = std::fs::read_to_string(here.join("r.html")).unwrap();
    assert!(page.contains("member s-3 was sent work and answered nothing") && page.ends_with("</html>"));
    assert!(
        !page.contains("http://") && !page.contains("https://") && !page.contains("<script"),
        "self-contained"
    );
    let json = ops(&["report", "try/n-1", "try/n-2", "--json"], here);
    let findings: serde_json::Value = serde_json::from_str(&told(&json)).unwrap();
    assert_eq!(findings["incidents"][0]["subject"], "s-3");

    let export = ops(
        &["records", "export", "try/n-1", "--kind", "flow", "--from", "14:14:20", "--to", "14:14:40"],
        here,
    );
    let lines: Vec<serde_json::Value> =
        told(&export).lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert!(lines.iter().any(|line| line["member"] == "s-3" && line["outcome"] == "timed_out"), "{lines:?}");
    assert!(
        lines
            .iter()
            .all(|line| line["kind"] == "flow"
                && line["at"].as_str().unwrap().starts_with("2026-09-21T14:14:"))
    );
    let csv = ops(&["records", "export", "try/n-1", "try/n-2", "--format", "csv"], here);
    let text = told(&csv);
    let columns = text.lines().next().unwrap().split(',').count();
    let mut table = csv::Reader::from_reader(text.as_bytes());
    assert!(table.records().all(|row| row.unwrap().len() == columns) && text.lines().count() > 1_000);
}

#[test]
fn damage_is_listed_and_ends_with_1() {
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
    assert!(told(&verify).contains("damaged at byte") && told(&verify).contains("not a segment of records"));
    let report = ops(&["report", "try/n-2"], folder.path());
    assert!(report.status.success() && told(&report).contains("What the records do not tell"));
}

#[test]
fn wrong_input_gets_one_clear_line() {
    let folder = tempfile::tempdir().unwrap();
    let here = folder.path();
    std::fs::create_dir(here.join("empty")).unwrap();
    std::fs::write(here.join("bad.json"), "{\"seed\":1}").unwrap();
    for (args, wanted) in [
        (&["report", "nowhere"][..], "nowhere"),
        (&["report", "empty"], "empty: no records in it"),
        (&["records", "verify", "empty"], "no records"),
        (&["console", "nowhere"], "nowhere"),
        (&["demo", "x", "--plan", "bad.json"], "bad.json: missing field"),
        (&["demo", "a/b/c"], "a/b/c"),
    ] {
        let output = ops(args, here);
        let said = complained(&output);
        assert_eq!(output.status.code(), Some(1), "{args:?}");
        assert!(said.contains(wanted) && said.lines().count() == 1, "{args:?}: {said}");
    }
    for args in
        [&["records", "export", "empty", "--kind", "flows"][..], &["console", "empty", "--speed", "0"], &[]]
    {
        assert_eq!(ops(args, here).status.code(), Some(2), "{args:?}");
    }
    let plan =
        told(&ops(&["demo", "--print-plan"], here)).replace("\"member\": \"s-3\"", "\"member\": \"s-99\"");
    std::fs::write(here.join("plan.json"), plan).unwrap();
    let output = ops(&["demo", "x", "--plan", "plan.json"], here);
    assert!(complained(&output).contains("script: no member s-99"), "{output:?}");
    assert!(!here.join("x").exists());
}

#[test]
fn help_and_completions_name_every_command() {
    let folder = tempfile::tempdir().unwrap();
    let help = told(&ops(&["--help"], folder.path()));
    for command in ["records", "report", "console", "demo", "completions"] {
        assert!(help.contains(command), "{help}");
        assert!(ops(&[command, "--help"], folder.path()).status.success());
    }
    assert!(help.lines().all(|line| line.chars().count() <= 100));
    for shell in ["bash", "zsh", "fish"] {
        assert!(told(&ops(&["completions", shell], folder.path())).contains("export"));
    }
}

/// Whoever reads the export may stop reading.
#[test]
fn an_export_into_a_closed_pipe_ends_quietly() {
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

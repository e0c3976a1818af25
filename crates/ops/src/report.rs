//! `report`: the findings as one page, or as JSON.

use crate::{Failed, merged};
use hopmoor_incident::{
    Findings, Incident, IncidentKind, Member, MemberState, RunEnd, ServiceTotals, analyse,
};
use hopmoor_page::plot::{Axis, LEFT, RIGHT, WIDTH, area, path, round_up, short};
use hopmoor_page::{number, page, percent, tile, time};
use maud::{Markup, html};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Lanes that are drawn, at most; members with a trouble come first.
const MOST_LANES: usize = 120;
const LANE: f64 = 20.0;
/// Tenants that are drawn.
const MOST_TENANTS: usize = 24;

/// Arguments of `report`.
#[derive(clap::Args)]
pub struct Report {
    /// Folders of records, one for each node.
    #[arg(required = true)]
    folders: Vec<PathBuf>,
    /// Where the page is written; standard output if it is not named.
    #[arg(short, long)]
    output: Option<PathBuf>,
    /// Write the findings as JSON instead.
    #[arg(long)]
    json: bool,
}

impl Report {
    pub fn run(self) -> Result<ExitCode, Failed> {
        let findings = analyse(merged(&self.folders)?);
        let text = if self.json {
            serde_json::to_string_pretty(&findings).map_err(|error| Failed(error.to_string()))? + "\n"
        } else {
            written(&findings)
        };
        match &self.output {
            None => std::io::stdout().write_all(text.as_bytes())?,
            Some(path) => {
                // A page that is there already stays whole until the new one is.
                let begun = path.with_extension("begun");
                let about = |error| Failed(format!("{}: {error}", path.display()));
                std::fs::write(&begun, text).map_err(about)?;
                std::fs::rename(&begun, path).map_err(about)?;
                let service = findings.service;
                println!(
                    "{}: {} of the service lost, {} incidents, {} records",
                    path.display(),
                    percent(service.share_lost),
                    findings.incidents.len(),
                    findings.records
                );
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// The page.
pub fn written(findings: &Findings) -> String {
    let names: Vec<&str> = findings.nodes.iter().map(|node| node.name.as_str()).collect();
    let title = format!("Incident report: {}", names.join(", "));
    let axis = Axis { from: findings.from, until: findings.until };
    let drawn = drawn(&findings.members);
    let body = html! {
        h1 { "Incident report" }
        p.soft {
            (time::date_clock(findings.from)) " to " (time::clock(findings.until)) " UTC ("
            (time::span(findings.until - findings.from)) "), from the records of " (names.join(", "))
        }
        (tiles(findings))
        (story(findings))
        h2 { "Timeline" }
        (key())
        div.wide { (timeline(findings, &axis, &drawn)) }
        @if drawn.len() < findings.members.len() {
            p.soft { (findings.members.len() - drawn.len()) " members without a trouble are not drawn." }
        }
        h2 { "Service asked for, served and lost" }
        div.key {
            (swatch("servedarea", "served in time")) (swatch("lostarea", "lost"))
            span { "worth a second; the line is what was asked for" }
        }
        div.wide { (service(findings, &axis)) }
        h2 { "Incidents" }
        (incidents(&findings.incidents))
        h2 { "Classes" }
        (accounts("Class", &findings.classes))
        h2 { "Tenants" }
        (accounts("Tenant", &findings.tenants))
        (budgets(findings, &axis))
        h2 { "Nodes" }
        (nodes(findings))
        @if !findings.doubts.is_empty() {
            h2 { "What the records do not tell" }
            ul {
                @for doubt in &findings.doubts {
                    li { (time::clock(doubt.at)) " " @if !doubt.node.is_empty() { (doubt.node) ": " } (doubt.what) }
                }
            }
        }
        p.soft {
            "Service lost is the worth of the seconds that clients wanted a connection and did not have one that "
            "answered in time. A node knows a client from its first line until it ends its connection; what a client "
            "wanted that was turned away and never came back is estimated from what others used."
        }
    };
    page(&title, &body)
}

fn tiles(findings: &Findings) -> Markup {
    let sum = |of: fn(&ServiceTotals) -> u64| findings.classes.iter().map(of).sum::<u64>();
    let away = sum(|class| class.rejected + class.failed);
    let all = sum(|class| class.transactions);
    let (broken, moved) = (sum(|class| class.broken), sum(|class| class.moved));
    let service = findings.service;
    let serious =
        |incident: &&Incident| matches!(incident.kind, IncidentKind::Member(state) if state.is_fault());
    let troubles = findings.incidents.iter().filter(serious).count();
    let part = |part: u64| if all > 0 { percent(part as f64 / all as f64) } else { "0%".into() };
    html! {
        div.tiles {
            (tile("Service lost", &percent(service.share_lost), &format!("{} of it not explained",
                percent(if service.share_lost > 0.0 { service.unexplained / service.share_lost } else { 0.0 })),
                service.share_lost > 0.01))
            (tile("Transactions", &number(all as f64), "asked of the nodes", false))
            (tile("Turned away", &number(away as f64), &part(away), away > 0))
            (tile("Broken off", &number(broken as f64), "connections that stood", broken > 0))
            (tile("Moved", &number(moved as f64), "clients asked to come again", false))
            (tile("Troubles", &number(troubles as f64), "of members", troubles > 0))
        }
    }
}

/// In words: what cost most, and whom.
fn story(findings: &Findings) -> Markup {
    let mut costly: Vec<&Incident> =
        findings.incidents.iter().filter(|incident| incident.share > 0.000_5).collect();
    costly.sort_by(|a, b| b.lost.total_cmp(&a.lost));
    let hit = |rows: &[ServiceTotals]| {
        let rows = rows.iter().filter(|row| row.asked > 0.0);
        rows.max_by(|a, b| (a.lost / a.asked).total_cmp(&(b.lost / b.asked)))
            .map(|row| (row.name.clone(), row.lost / row.asked))
    };
    let cut = findings
        .nodes
        .iter()
        .filter(|node| node.runs.last().is_some_and(|run| run.end == RunEnd::RecordsEnd));
    let cut: Vec<&str> = cut.map(|node| node.name.as_str()).collect();
    html! {
        @if costly.is_empty() {
            p { "Nothing that went wrong cost as much as 0.05% of the service." }
        } @else {
            p { "What cost most:" }
            ul {
                @for incident in costly.iter().take(5) {
                    li {
                        b { (percent(incident.share)) } " "
                        a href=(format!("#i-{}", incident.number)) { (incident.cause) }
                        ", from " (time::clock(incident.from))
                    }
                }
            }
        }
        @if let (Some((class, part)), Some((tenant, of_tenant))) = (hit(&findings.classes), hit(&findings.tenants)) {
            p {
                "Hardest hit: class " b { (class) } ", which lost " (percent(part)) " of what it asked for, and tenant "
                b { (tenant) } ", which lost " (percent(of_tenant)) "."
            }
        }
        @if !cut.is_empty() {
            p { b { "Records end here" } " without a word of " (cut.join(", ")) ": what came after is not known." }
        }
    }
}

fn swatch(class: &str, name: &str) -> Markup {
    html! { span { svg viewBox="0 0 10 10" aria-hidden="true" { rect class=(class) width="10" height="10" rx="2" {} } (name) } }
}

fn key() -> Markup {
    let states = [
        MemberState::Silent,
        MemberState::Dead,
        MemberState::Refusing,
        MemberState::Slow,
        MemberState::Draining,
        MemberState::Gone,
        MemberState::Cold,
    ];
    html! {
        div.key {
            @for state in states { (swatch(state.word(), state.word())) }
            (swatch("avoided", "avoided by a node (thin)"))
            (swatch("gap", "records lost"))
        }
    }
}

fn drawn(members: &[Member]) -> Vec<&Member> {
    let troubled = |member: &&Member| member.spans.iter().any(|span| span.state.is_fault());
    let changed = |member: &&Member| !member.spans.is_empty() && !troubled(member);
    let still = |member: &&Member| member.spans.is_empty();
    let mut all: Vec<&Member> = members.iter().filter(troubled).collect();
    all.extend(members.iter().filter(changed));
    all.extend(members.iter().filter(still));
    all.truncate(MOST_LANES);
    all.sort_by(|a, b| hopmoor_incident::analysis::natural_order(&a.name, &b.name));
    all
}

/// A name that fits beside its lane.
fn fitting(name: &str) -> String {
    if name.chars().count() <= 18 {
        name.to_owned()
    } else {
        name.chars().take(17).chain(['\u{2026}']).collect()
    }
}

fn timeline(findings: &Findings, axis: &Axis, members: &[&Member]) -> Markup {
    let nodes = findings.nodes.len();
    let away = 54.0;
    let lanes = (nodes + members.len()) as f64 * LANE;
    let height = lanes + away + 34.0;
    let y = |lane: usize| lane as f64 * LANE + 2.0;
    let lane_box = |lane: usize| {
        html! {
            rect.lane x=(short(LEFT)) y=(short(y(lane))) width=(short(WIDTH - LEFT - RIGHT)) height=(short(LANE - 4.0)) {}
        }
    };
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {}", short(height))) role="img" aria-label="Timeline of nodes and members" {
            (axis.grid(height))
            @for (lane, node) in findings.nodes.iter().enumerate() {
                text x="4" y=(short(y(lane) + 12.0)) { (fitting(&node.name)) }
                (lane_box(lane))
                @for run in &node.runs {
                    (bar("run", axis, run.from, run.until, y(lane) + 3.0, LANE - 10.0, None,
                        &format!("{} ran from {} to {}", node.name, time::clock(run.from), time::clock(run.until))))
                    @if let Some(leaving) = run.leaving {
                        (bar("leaving", axis, leaving, run.until, y(lane) + 3.0, LANE - 10.0, None,
                            &format!("{} was leaving from {}", node.name, time::clock(leaving))))
                    }
                    @if run.end != RunEnd::Stopped {
                        (bar("cut", axis, run.until, run.until, y(lane), LANE - 4.0, None,
                            &format!("records of {} end here, {}", node.name, time::clock(run.until))))
                    }
                }
                @for gap in &node.gaps {
                    (bar("gap", axis, gap.from, gap.until, y(lane) + 3.0, LANE - 10.0, None,
                        &format!("{} records of {} lost", gap.lost, node.name)))
                }
            }
            @for (at, member) in members.iter().enumerate() {
                (member_lane(findings, axis, member, y(nodes + at), &lane_box(nodes + at)))
            }
            (turned_away(findings, axis, lanes + 4.0, away))
        }
    }
}

fn member_lane(findings: &Findings, axis: &Axis, member: &Member, y: f64, lane: &Markup) -> Markup {
    // The wider states lie under the narrower ones.
    let order = [
        MemberState::Gone,
        MemberState::Cold,
        MemberState::Draining,
        MemberState::Slow,
        MemberState::Refusing,
        MemberState::Silent,
        MemberState::Dead,
    ];
    html! {
        g id=(format!("m-{}", member.name)) {
            text x="4" y=(short(y + 12.0)) { title { (member.name) } (fitting(&member.name)) }
            (lane)
            @for state in order {
                @for span in member.spans.iter().filter(|span| span.state == state) {
                    @let until = span.until.unwrap_or(findings.until);
                    @let inset = match state { MemberState::Draining => 3.0, MemberState::Silent | MemberState::Dead | MemberState::Refusing => 5.0, _ => 0.0 };
                    @let row = findings.incidents.iter().find(|incident| {
                        incident.kind == IncidentKind::Member(state) && incident.subject == member.name && incident.from == span.from
                    });
                    (bar(state.word(), axis, span.from, until, y + inset, LANE - 4.0 - 2.0 * inset, row,
                        &format!("{}: {} from {} for {}", member.name, state.word(), time::clock(span.from), time::span(until - span.from))))
                }
            }
            @for span in member.spans.iter().filter(|span| span.state == MemberState::Avoided) {
                (bar("avoided", axis, span.from, span.until.unwrap_or(findings.until), y + LANE - 6.0, 2.0, None,
                    &format!("{} avoided from {}", member.name, time::clock(span.from))))
            }
        }
    }
}

#[allow(clippy::too_many_arguments)]
fn bar(
    class: &str,
    axis: &Axis,
    from: f64,
    until: f64,
    y: f64,
    height: f64,
    row: Option<&Incident>,
    title: &str,
) -> Markup {
    let (left, right) = (axis.x(from), axis.x(until));
    let rect = html! {
        rect class=(class) x=(short(left)) y=(short(y)) width=(short((right - left).max(3.0))) height=(short(height)) rx="2" {
            title { (title) }
        }
    };
    html! {
        @match row {
            Some(row) => { a href=(format!("#i-{}", row.number)) { (rect) } }
            None => (rect)
        }
    }
}

/// Transactions rejected or failed, by class, stacked.
fn turned_away(findings: &Findings, axis: &Axis, top: f64, height: f64) -> Markup {
    let curves = &findings.curves;
    let steps = curves.arrivals.len();
    let group = steps.div_ceil(300).max(1);
    let sums: Vec<Vec<f64>> = (0..steps.div_ceil(group))
        .map(|at| {
            let part =
                |class: &Vec<f32>| class.iter().skip(at * group).take(group).map(|v| f64::from(*v)).sum();
            curves.turned_away.iter().map(part).collect()
        })
        .collect();
    let most = sums.iter().map(|parts| parts.iter().sum::<f64>()).fold(0.0, f64::max);
    let scale = round_up(most);
    let base = top + height - 6.0;
    let unit = (height - 14.0) / scale;
    html! {
        text x="4" y=(short(top + 14.0)) { "turned away" }
        text.soft x="4" y=(short(top + 28.0)) { "up to " (short(scale)) " in " (time::span(group as f64 * curves.step_ms)) }
        line.grid x1=(short(LEFT)) x2=(short(WIDTH - RIGHT)) y1=(short(base)) y2=(short(base)) {}
        @for (at, parts) in sums.iter().enumerate().filter(|(_, parts)| parts.iter().any(|part| *part > 0.0)) {
            @let from = findings.from + (at * group) as f64 * curves.step_ms;
            @let (left, right) = (axis.x(from), axis.x(from + group as f64 * curves.step_ms));
            @for (class, part) in parts.iter().enumerate().filter(|(_, part)| **part > 0.0) {
                @let below: f64 = parts[..class].iter().sum();
                rect class=(format!("k{}", class % 8)) x=(short(left)) y=(short(base - (below + part) * unit))
                    width=(short((right - left).max(1.0))) height=(short((part * unit).max(0.5))) {
                    title { (findings.classes.get(class).map_or("", |class| class.name.as_str())) ": " (short(*part)) " at " (time::clock(from)) }
                }
            }
        }
    }
}

fn service(findings: &Findings, axis: &Axis) -> Markup {
    let (curves, height) = (&findings.curves, 190.0);
    let top = curves.asked.iter().fold(0.0f32, |most, value| most.max(*value));
    let scale = round_up(f64::from(top));
    let base = height - 22.0;
    let y = |value: f64| base - (value / scale).clamp(0.0, 1.0) * (base - 8.0);
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {height}")) role="img" aria-label="Service asked for, served and lost" {
            (axis.grid(height))
            @for part in [0.0, 0.5, 1.0] {
                text.tick x=(short(LEFT - 6.0)) y=(short(y(scale * part) + 4.0)) text-anchor="end" { (short(scale * part)) }
                line.grid x1=(short(LEFT)) x2=(short(WIDTH - RIGHT)) y1=(short(y(scale * part))) y2=(short(y(scale * part))) {}
            }
            path.lostarea d=(area(&curves.asked, axis, curves.step_ms, base, y)) {}
            path style="fill:var(--panel)" d=(area(&curves.served, axis, curves.step_ms, base, y)) {}
            path.servedarea d=(area(&curves.served, axis, curves.step_ms, base, y)) {}
            path.askedline d=(path(&curves.asked, axis, curves.step_ms, y)) {}
            path.servedline d=(path(&curves.served, axis, curves.step_ms, y)) {}
        }
    }
}

fn incidents(all: &[Incident]) -> Markup {
    html! {
        @if all.is_empty() {
            p { "None." }
        } @else {
            div.wide { table {
                thead { tr { th.n { "#" } th { "From" } th.n { "Lasted" } th { "What" } th { "Seen" } th.n { "Service lost" } } }
                tbody {
                    @for incident in all {
                        tr id=(format!("i-{}", incident.number)) {
                            td.n { (incident.number) }
                            td.t { (time::clock(incident.from)) }
                            td.n { @match incident.until { Some(until) => (time::span(until - incident.from)), None => "no end seen" } }
                            td.t { span.tag {
                                svg viewBox="0 0 10 10" aria-hidden="true" { rect class=(colour(incident.kind)) width="10" height="10" rx="2" {} }
                                @match incident.kind {
                                    IncidentKind::Member(_) => { a href=(format!("#m-{}", incident.subject)) { (incident.kind.word()) } }
                                    _ => (incident.kind.word())
                                }
                            } }
                            td.w { (incident.cause) }
                            td.n { (percent(incident.share)) }
                        }
                    }
                }
            } }
        }
    }
}

fn colour(kind: IncidentKind) -> &'static str {
    match kind {
        IncidentKind::Member(state) => state.word(),
        IncidentKind::NodeLeft => "leaving",
        IncidentKind::NodeCut => "cut",
        IncidentKind::RecordsLost => "gap",
        IncidentKind::NoRoom => "k2",
        IncidentKind::Blind => "gone",
        IncidentKind::HeldDead => "dead",
    }
}

fn accounts(what: &str, rows: &[ServiceTotals]) -> Markup {
    html! {
        div.wide { table {
            thead { tr {
                th { (what) } th.n { "Asked" } th.n { "Served" } th.n { "Rejected" } th.n { "Failed" } th.n { "Broken" }
                th.n { "Moved" } th.n { "Mean wait" } th.n { "Service lost" }
            } }
            tbody {
                @for row in rows.iter().take(1_000) {
                    tr {
                        td { (row.name) } td.n { (number(row.transactions as f64)) } td.n { (number(row.served as f64)) }
                        td.n { (number(row.rejected as f64)) } td.n { (number(row.failed as f64)) }
                        td.n { (number(row.broken as f64)) } td.n { (number(row.moved as f64)) }
                        td.n { (time::span(row.wait_ms)) }
                        td.n { (percent(if row.asked > 0.0 { row.lost / row.asked } else { 0.0 })) }
                    }
                }
            }
        } }
    }
}

fn budgets(findings: &Findings, axis: &Axis) -> Markup {
    let height = 110.0;
    let (step, base) = (findings.curves.step_ms, height - 22.0);
    html! {
        @if !findings.budgets.is_empty() {
            h2 { "Tenants' budgets and use" }
            div.key {
                (swatch("servedarea", "connections open")) span { "dashed: budget, over all nodes" }
                (swatch("slow", "waiting"))
            }
        }
        @for tenant in findings.budgets.iter().take(MOST_TENANTS) {
            @let most = tenant.open.iter().chain(&tenant.queued).fold(1.0f32, |most, value| most.max(*value));
            // A budget far over what is used would press the rest flat.
            @let scale = round_up(f64::from(most) * 1.6);
            @let y = |value: f64| base - (value / scale).clamp(0.0, 1.0) * (base - 8.0);
            div.wide {
                svg viewBox=(format!("0 0 {WIDTH} {height}")) role="img" aria-label=(format!("Budget and use of {}", tenant.name)) {
                    text x="4" y="16" { title { (tenant.name) } (fitting(&tenant.name)) }
                    text.tick x=(short(LEFT - 6.0)) y="12" text-anchor="end" {}
                    text.soft x="4" y="32" { "0 to " (short(scale)) }
                    (axis.grid(height))
                    path.servedarea d=(area(&tenant.open, axis, step, base, y)) {}
                    path.servedline d=(path(&tenant.open, axis, step, y)) {}
                    path.queueline d=(path(&tenant.queued, axis, step, y)) {}
                    path.limitline d=(path(&tenant.budget, axis, step, y)) {}
                }
            }
        }
        @if findings.budgets.len() > MOST_TENANTS {
            p.soft { (findings.budgets.len() - MOST_TENANTS) " further tenants are not drawn." }
        }
    }
}

fn nodes(findings: &Findings) -> Markup {
    html! {
        div.wide { table {
            thead { tr {
                th { "Node" } th { "Ran" } th { "End" } th.n { "Transactions" } th.n { "Turned away" } th.n { "Moved" }
            } }
            tbody {
                @for node in &findings.nodes {
                    @for (at, run) in node.runs.iter().enumerate() {
                        tr {
                            td { @if at == 0 { (node.name) } }
                            td.t { (time::clock(run.from)) " to " (time::clock(run.until)) }
                            td.t { @match run.end {
                                RunEnd::Stopped => "in good order",
                                RunEnd::Cut => "without a word",
                                RunEnd::RecordsEnd => "records end here",
                            } }
                            @if at == 0 {
                                td.n { (number(node.transactions as f64)) } td.n { (number(node.turned_away as f64)) }
                                td.n { (number(node.moved as f64)) }
                            } @else { td {} td {} td {} }
                        }
                    }
                }
            }
        } }
    }
}

#[cfg(test)]
mod tests;

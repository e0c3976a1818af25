//! `report`: the incidents found in the records, as one HTML page or as JSON.

use crate::{Failed, merge_folders};
use hopmoor_incident::{
    Findings, Incident, IncidentKind, Member, MemberState, RunEnd, ServiceTotals, analyse,
};
use hopmoor_page::plot::{
    LEFT_MARGIN, PLOT_WIDTH, RIGHT_MARGIN, TimeAxis, area_path, compact, curve_path, round_up,
};
use hopmoor_page::{format_number, format_percent, page, tile, time};
use maud::{Markup, html};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Maximum number of members in the timeline; members with a fault are kept first.
const MAX_MEMBER_LANES: usize = 120;
/// Height of a lane of the timeline with the space below it, in units of the plot.
const LANE_HEIGHT: f64 = 20.0;
/// Maximum number of tenants whose budgets are plotted.
const MAX_TENANT_PLOTS: usize = 24;

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
        let findings = analyse(merge_folders(&self.folders)?);
        let text = if self.json {
            serde_json::to_string_pretty(&findings).map_err(|error| Failed(error.to_string()))? + "\n"
        } else {
            render_page(&findings)
        };
        match &self.output {
            None => std::io::stdout().write_all(text.as_bytes())?,
            Some(path) => {
                // The page is written to a temporary file and renamed, so that an existing page is replaced
                // only by a complete one.
                let temporary = path.with_extension("begun");
                let with_path = |error| Failed(format!("{}: {error}", path.display()));
                std::fs::write(&temporary, text).map_err(with_path)?;
                std::fs::rename(&temporary, path).map_err(with_path)?;
                let service = findings.service;
                println!(
                    "{}: {} of the service lost, {} incidents, {} records",
                    path.display(),
                    format_percent(service.share_lost),
                    findings.incidents.len(),
                    findings.records
                );
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Renders the findings as a self-contained HTML page.
pub fn render_page(findings: &Findings) -> String {
    let names: Vec<&str> = findings.nodes.iter().map(|node| node.name.as_str()).collect();
    let title = format!("Incident report: {}", names.join(", "));
    let axis = TimeAxis { from: findings.from, until: findings.until };
    let drawn_members = members_to_draw(&findings.members);
    let body = html! {
        h1 { "Incident report" }
        p.soft {
            (time::date_clock(findings.from)) " to " (time::clock(findings.until)) " UTC ("
            (time::duration(findings.until - findings.from)) "), from the records of " (names.join(", "))
        }
        (summary_tiles(findings))
        (summary(findings))
        h2 { "Timeline" }
        (legend())
        div.wide { (timeline(findings, &axis, &drawn_members)) }
        @if drawn_members.len() < findings.members.len() {
            p.soft {
                (findings.members.len() - drawn_members.len())
                " members without a trouble are not drawn."
            }
        }
        h2 { "Service asked for, served and lost" }
        div.key {
            (swatch("servedarea", "served in time")) (swatch("lostarea", "lost"))
            span { "worth a second; the line is what was asked for" }
        }
        div.wide { (service_plot(findings, &axis)) }
        h2 { "Incidents" }
        (incidents_table(&findings.incidents))
        h2 { "Classes" }
        (totals_table("Class", &findings.classes))
        h2 { "Tenants" }
        (totals_table("Tenant", &findings.tenants))
        (budget_plots(findings, &axis))
        h2 { "Nodes" }
        (nodes_table(findings))
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

fn summary_tiles(findings: &Findings) -> Markup {
    let sum = |count: fn(&ServiceTotals) -> u64| findings.classes.iter().map(count).sum::<u64>();
    let rejected_or_failed = sum(|class| class.rejected + class.failed);
    let all = sum(|class| class.transactions);
    let (broken, moved) = (sum(|class| class.broken), sum(|class| class.moved));
    let service = findings.service;
    let is_member_fault =
        |incident: &&Incident| matches!(incident.kind, IncidentKind::Member(state) if state.is_fault());
    let member_faults = findings.incidents.iter().filter(is_member_fault).count();
    let share_of_all =
        |count: u64| if all > 0 { format_percent(count as f64 / all as f64) } else { "0%".into() };
    html! {
        div.tiles {
            (tile("Service lost", &format_percent(service.share_lost), &format!("{} of it not explained",
                format_percent(if service.share_lost > 0.0 { service.unexplained / service.share_lost } else { 0.0 })),
                service.share_lost > 0.01))
            (tile("Transactions", &format_number(all as f64), "asked of the nodes", false))
            (tile("Turned away", &format_number(rejected_or_failed as f64), &share_of_all(rejected_or_failed),
                rejected_or_failed > 0))
            (tile("Broken off", &format_number(broken as f64), "connections that stood", broken > 0))
            (tile("Moved", &format_number(moved as f64), "clients asked to come again", false))
            (tile("Troubles", &format_number(member_faults as f64), "of members", member_faults > 0))
        }
    }
}

/// A summary in words: the costliest incidents, the class and the tenant that lost most, and nodes whose
/// records end early.
fn summary(findings: &Findings) -> Markup {
    let mut costly: Vec<&Incident> =
        findings.incidents.iter().filter(|incident| incident.share > 0.000_5).collect();
    costly.sort_by(|a, b| b.lost.total_cmp(&a.lost));
    let hardest_hit = |rows: &[ServiceTotals]| {
        let rows = rows.iter().filter(|row| row.asked > 0.0);
        rows.max_by(|a, b| (a.lost / a.asked).total_cmp(&(b.lost / b.asked)))
            .map(|row| (row.name.clone(), row.lost / row.asked))
    };
    let nodes_cut_off = findings
        .nodes
        .iter()
        .filter(|node| node.runs.last().is_some_and(|run| run.end == RunEnd::RecordsEnd));
    let nodes_cut_off: Vec<&str> = nodes_cut_off.map(|node| node.name.as_str()).collect();
    html! {
        @if costly.is_empty() {
            p { "Nothing that went wrong cost as much as 0.05% of the service." }
        } @else {
            p { "What cost most:" }
            ul {
                @for incident in costly.iter().take(5) {
                    li {
                        b { (format_percent(incident.share)) } " "
                        a href=(format!("#i-{}", incident.number)) { (incident.cause) }
                        ", from " (time::clock(incident.from))
                    }
                }
            }
        }
        @if let (Some((class, class_share)), Some((tenant, tenant_share))) =
            (hardest_hit(&findings.classes), hardest_hit(&findings.tenants))
        {
            p {
                "Hardest hit: class " b { (class) } ", which lost " (format_percent(class_share))
                " of what it asked for, and tenant "
                b { (tenant) } ", which lost " (format_percent(tenant_share)) "."
            }
        }
        @if !nodes_cut_off.is_empty() {
            p { b { "Records end here" } " without a word of " (nodes_cut_off.join(", ")) ": what came after is not known." }
        }
    }
}

/// An entry of a legend: a square of the colour of a CSS class, and its name.
fn swatch(class: &str, name: &str) -> Markup {
    html! { span { svg viewBox="0 0 10 10" aria-hidden="true" { rect class=(class) width="10" height="10" rx="2" {} } (name) } }
}

/// The legend of the timeline.
fn legend() -> Markup {
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

/// The members that the timeline shows, in the order of their names. If there are too many, members with a
/// fault take precedence over members with other changes of state, and those over the rest.
fn members_to_draw(members: &[Member]) -> Vec<&Member> {
    let has_fault = |member: &&Member| member.spans.iter().any(|span| span.state.is_fault());
    let changed_only = |member: &&Member| !member.spans.is_empty() && !has_fault(member);
    let unchanged = |member: &&Member| member.spans.is_empty();
    let mut drawn: Vec<&Member> = members.iter().filter(has_fault).collect();
    drawn.extend(members.iter().filter(changed_only));
    drawn.extend(members.iter().filter(unchanged));
    drawn.truncate(MAX_MEMBER_LANES);
    drawn.sort_by(|a, b| hopmoor_incident::analysis::natural_order(&a.name, &b.name));
    drawn
}

/// A name cut to the 18 characters that fit into the left margin.
fn truncated_name(name: &str) -> String {
    if name.chars().count() <= 18 {
        name.to_owned()
    } else {
        name.chars().take(17).chain(['\u{2026}']).collect()
    }
}

/// The timeline: a lane for each node and member, and the transactions turned away below them.
fn timeline(findings: &Findings, axis: &TimeAxis, members: &[&Member]) -> Markup {
    let nodes = findings.nodes.len();
    let bars_height = 54.0;
    let lanes = (nodes + members.len()) as f64 * LANE_HEIGHT;
    let height = lanes + bars_height + 34.0;
    let y = |lane: usize| lane as f64 * LANE_HEIGHT + 2.0;
    let lane_box = |lane: usize| {
        html! {
            rect.lane x=(compact(LEFT_MARGIN)) y=(compact(y(lane)))
                width=(compact(PLOT_WIDTH - LEFT_MARGIN - RIGHT_MARGIN))
                height=(compact(LANE_HEIGHT - 4.0)) {}
        }
    };
    html! {
        svg viewBox=(format!("0 0 {PLOT_WIDTH} {}", compact(height))) role="img"
            aria-label="Timeline of nodes and members" {
            (axis.grid(height))
            @for (lane, node) in findings.nodes.iter().enumerate() {
                text x="4" y=(compact(y(lane) + 12.0)) { (truncated_name(&node.name)) }
                (lane_box(lane))
                @for run in &node.runs {
                    (span_bar("run", axis, run.from, run.until, y(lane) + 3.0, LANE_HEIGHT - 10.0, None,
                        &format!("{} ran from {} to {}", node.name, time::clock(run.from), time::clock(run.until))))
                    @if let Some(leaving) = run.leaving {
                        (span_bar("leaving", axis, leaving, run.until, y(lane) + 3.0, LANE_HEIGHT - 10.0, None,
                            &format!("{} was leaving from {}", node.name, time::clock(leaving))))
                    }
                    @if run.end != RunEnd::Stopped {
                        (span_bar("cut", axis, run.until, run.until, y(lane), LANE_HEIGHT - 4.0, None,
                            &format!("records of {} end here, {}", node.name, time::clock(run.until))))
                    }
                }
                @for gap in &node.gaps {
                    (span_bar("gap", axis, gap.from, gap.until, y(lane) + 3.0, LANE_HEIGHT - 10.0, None,
                        &format!("{} records of {} lost", gap.lost, node.name)))
                }
            }
            @for (at, member) in members.iter().enumerate() {
                (member_lane(findings, axis, member, y(nodes + at), &lane_box(nodes + at)))
            }
            (turned_away_bars(findings, axis, lanes + 4.0, bars_height))
        }
    }
}

/// One member's lane of the timeline, with its spans of states.
fn member_lane(findings: &Findings, axis: &TimeAxis, member: &Member, y: f64, lane: &Markup) -> Markup {
    // Drawn in this order, so that bars of narrower states lie on top of wider ones.
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
            text x="4" y=(compact(y + 12.0)) { title { (member.name) } (truncated_name(&member.name)) }
            (lane)
            @for state in order {
                @for span in member.spans.iter().filter(|span| span.state == state) {
                    @let until = span.until.unwrap_or(findings.until);
                    @let inset = match state {
                        MemberState::Draining => 3.0,
                        MemberState::Silent | MemberState::Dead | MemberState::Refusing => 5.0,
                        _ => 0.0
                    };
                    @let incident = findings.incidents.iter().find(|incident| {
                        incident.kind == IncidentKind::Member(state)
                            && incident.subject == member.name
                            && incident.from == span.from
                    });
                    (span_bar(state.word(), axis, span.from, until, y + inset, LANE_HEIGHT - 4.0 - 2.0 * inset,
                        incident,
                        &format!("{}: {} from {} for {}", member.name, state.word(), time::clock(span.from),
                            time::duration(until - span.from))))
                }
            }
            @for span in member.spans.iter().filter(|span| span.state == MemberState::Avoided) {
                (span_bar("avoided", axis, span.from, span.until.unwrap_or(findings.until), y + LANE_HEIGHT - 6.0,
                    2.0, None,
                    &format!("{} avoided from {}", member.name, time::clock(span.from))))
            }
        }
    }
}

/// A bar from one time to another, at least 3 units wide, linked to the row of its incident if there is one.
#[allow(clippy::too_many_arguments)]
fn span_bar(
    class: &str,
    axis: &TimeAxis,
    from: f64,
    until: f64,
    y: f64,
    height: f64,
    incident: Option<&Incident>,
    title: &str,
) -> Markup {
    let (left, right) = (axis.x(from), axis.x(until));
    let rect = html! {
        rect class=(class) x=(compact(left)) y=(compact(y)) width=(compact((right - left).max(3.0)))
            height=(compact(height)) rx="2" {
            title { (title) }
        }
    };
    html! {
        @match incident {
            Some(incident) => { a href=(format!("#i-{}", incident.number)) { (rect) } }
            None => (rect)
        }
    }
}

/// Transactions rejected or failed over time, as bars stacked by class.
fn turned_away_bars(findings: &Findings, axis: &TimeAxis, top: f64, height: f64) -> Markup {
    let curves = &findings.curves;
    let steps = curves.arrivals.len();
    // At most 300 bars: each covers a group of steps.
    let group = steps.div_ceil(300).max(1);
    // Sums by class for each bar.
    let sums: Vec<Vec<f64>> = (0..steps.div_ceil(group))
        .map(|at| {
            let part =
                |class: &Vec<f32>| class.iter().skip(at * group).take(group).map(|v| f64::from(*v)).sum();
            curves.turned_away.iter().map(part).collect()
        })
        .collect();
    let max_sum = sums.iter().map(|parts| parts.iter().sum::<f64>()).fold(0.0, f64::max);
    let scale = round_up(max_sum);
    let base = top + height - 6.0;
    let units_per_transaction = (height - 14.0) / scale;
    html! {
        text x="4" y=(compact(top + 14.0)) { "turned away" }
        text.soft x="4" y=(compact(top + 28.0)) {
            "up to " (compact(scale)) " in " (time::duration(group as f64 * curves.step_ms))
        }
        line.grid x1=(compact(LEFT_MARGIN)) x2=(compact(PLOT_WIDTH - RIGHT_MARGIN))
            y1=(compact(base)) y2=(compact(base)) {}
        @for (at, parts) in sums.iter().enumerate().filter(|(_, parts)| parts.iter().any(|part| *part > 0.0)) {
            @let from = findings.from + (at * group) as f64 * curves.step_ms;
            @let (left, right) = (axis.x(from), axis.x(from + group as f64 * curves.step_ms));
            @for (class, part) in parts.iter().enumerate().filter(|(_, part)| **part > 0.0) {
                @let below: f64 = parts[..class].iter().sum();
                rect class=(format!("k{}", class % 8)) x=(compact(left))
                    y=(compact(base - (below + part) * units_per_transaction))
                    width=(compact((right - left).max(1.0)))
                    height=(compact((part * units_per_transaction).max(0.5))) {
                    title {
                        (findings.classes.get(class).map_or("", |class| class.name.as_str())) ": " (compact(*part))
                        " at " (time::clock(from))
                    }
                }
            }
        }
    }
}

/// Service asked for and served over time.
fn service_plot(findings: &Findings, axis: &TimeAxis) -> Markup {
    let (curves, height) = (&findings.curves, 190.0);
    let peak = curves.asked.iter().fold(0.0f32, |peak, value| peak.max(*value));
    let scale = round_up(f64::from(peak));
    let base = height - 22.0;
    let y = |value: f64| base - (value / scale).clamp(0.0, 1.0) * (base - 8.0);
    html! {
        svg viewBox=(format!("0 0 {PLOT_WIDTH} {height}")) role="img" aria-label="Service asked for, served and lost" {
            (axis.grid(height))
            @for part in [0.0, 0.5, 1.0] {
                text.tick x=(compact(LEFT_MARGIN - 6.0)) y=(compact(y(scale * part) + 4.0)) text-anchor="end" {
                    (compact(scale * part))
                }
                line.grid x1=(compact(LEFT_MARGIN)) x2=(compact(PLOT_WIDTH - RIGHT_MARGIN))
                    y1=(compact(y(scale * part))) y2=(compact(y(scale * part))) {}
            }
            path.lostarea d=(area_path(&curves.asked, axis, curves.step_ms, base, y)) {}
            path style="fill:var(--panel)" d=(area_path(&curves.served, axis, curves.step_ms, base, y)) {}
            path.servedarea d=(area_path(&curves.served, axis, curves.step_ms, base, y)) {}
            path.askedline d=(curve_path(&curves.asked, axis, curves.step_ms, y)) {}
            path.servedline d=(curve_path(&curves.served, axis, curves.step_ms, y)) {}
        }
    }
}

fn incidents_table(incidents: &[Incident]) -> Markup {
    html! {
        @if incidents.is_empty() {
            p { "None." }
        } @else {
            div.wide { table {
                thead { tr { th.n { "#" } th { "From" } th.n { "Lasted" } th { "What" } th { "Seen" } th.n { "Service lost" } } }
                tbody {
                    @for incident in incidents {
                        tr id=(format!("i-{}", incident.number)) {
                            td.n { (incident.number) }
                            td.t { (time::clock(incident.from)) }
                            td.n { @match incident.until { Some(until) => (time::duration(until - incident.from)), None => "no end seen" } }
                            td.t { span.tag {
                                svg viewBox="0 0 10 10" aria-hidden="true" { rect class=(colour_class(incident.kind)) width="10" height="10" rx="2" {} }
                                @match incident.kind {
                                    IncidentKind::Member(_) => { a href=(format!("#m-{}", incident.subject)) { (incident.kind.word()) } }
                                    _ => (incident.kind.word())
                                }
                            } }
                            td.w { (incident.cause) }
                            td.n { (format_percent(incident.share)) }
                        }
                    }
                }
            } }
        }
    }
}

/// CSS class of the colour that an incident has in the timeline.
fn colour_class(kind: IncidentKind) -> &'static str {
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

/// A table of what classes or tenants asked for and got; `heading` is the heading of the first column.
fn totals_table(heading: &str, rows: &[ServiceTotals]) -> Markup {
    html! {
        div.wide { table {
            thead { tr {
                th { (heading) } th.n { "Asked" } th.n { "Served" } th.n { "Rejected" } th.n { "Failed" } th.n { "Broken" }
                th.n { "Moved" } th.n { "Mean wait" } th.n { "Service lost" }
            } }
            tbody {
                @for row in rows.iter().take(1_000) {
                    tr {
                        td { (row.name) }
                        td.n { (format_number(row.transactions as f64)) } td.n { (format_number(row.served as f64)) }
                        td.n { (format_number(row.rejected as f64)) } td.n { (format_number(row.failed as f64)) }
                        td.n { (format_number(row.broken as f64)) } td.n { (format_number(row.moved as f64)) }
                        td.n { (time::duration(row.wait_ms)) }
                        td.n { (format_percent(if row.asked > 0.0 { row.lost / row.asked } else { 0.0 })) }
                    }
                }
            }
        } }
    }
}

fn budget_plots(findings: &Findings, axis: &TimeAxis) -> Markup {
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
        @for tenant in findings.budgets.iter().take(MAX_TENANT_PLOTS) {
            @let peak = tenant.open.iter().chain(&tenant.queued).fold(1.0f32, |peak, value| peak.max(*value));
            // The scale follows use and not the budget: one far above use would flatten the other curves.
            @let scale = round_up(f64::from(peak) * 1.6);
            @let y = |value: f64| base - (value / scale).clamp(0.0, 1.0) * (base - 8.0);
            div.wide {
                svg viewBox=(format!("0 0 {PLOT_WIDTH} {height}")) role="img"
                    aria-label=(format!("Budget and use of {}", tenant.name)) {
                    text x="4" y="16" { title { (tenant.name) } (truncated_name(&tenant.name)) }
                    text.tick x=(compact(LEFT_MARGIN - 6.0)) y="12" text-anchor="end" {}
                    text.soft x="4" y="32" { "0 to " (compact(scale)) }
                    (axis.grid(height))
                    path.servedarea d=(area_path(&tenant.open, axis, step, base, y)) {}
                    path.servedline d=(curve_path(&tenant.open, axis, step, y)) {}
                    path.queueline d=(curve_path(&tenant.queued, axis, step, y)) {}
                    path.limitline d=(curve_path(&tenant.budget, axis, step, y)) {}
                }
            }
        }
        @if findings.budgets.len() > MAX_TENANT_PLOTS {
            p.soft { (findings.budgets.len() - MAX_TENANT_PLOTS) " further tenants are not drawn." }
        }
    }
}

fn nodes_table(findings: &Findings) -> Markup {
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
                                td.n { (format_number(node.transactions as f64)) } td.n { (format_number(node.turned_away as f64)) }
                                td.n { (format_number(node.moved as f64)) }
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

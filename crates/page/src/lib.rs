//! Layout of hopmoor's HTML reports: one self-contained page with inline plots, no scripts and no external
//! resources. It follows the reader's light or dark colour scheme and is readable on a phone.

pub mod plot;
pub mod time;

use maud::{DOCTYPE, Markup, PreEscaped, html};

const STYLE: &str = include_str!("style.css");

/// Renders a whole page. `title` is escaped here; `body` was escaped when its markup was made.
pub fn page(title: &str, body: &Markup) -> String {
    let document = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body { main { (body) } }
        }
    };
    document.into_string()
}

/// A tile with a figure, its name and a note, for the row at the top of a page; `bad` highlights it.
pub fn tile(name: &str, figure: &str, note: &str, bad: bool) -> Markup {
    html! {
        div.tile.bad[bad] {
            span.name { (name) }
            span.figure { (figure) }
            span.more { (note) }
        }
    }
}

/// Formats a share as a percentage; a share of 1 is 100%.
pub fn format_percent(share: f64) -> String {
    let percent = share * 100.0;
    if percent == 0.0 {
        "0%".into()
    } else if percent.abs() < 0.01 {
        "<0.01%".into()
    } else if percent.abs() < 1.0 {
        format!("{percent:.2}%")
    } else {
        format!("{percent:.1}%")
    }
}

/// Formats a number without decimals, with a narrow no-break space between groups of three digits.
pub fn format_number(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push('\u{202f}');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}

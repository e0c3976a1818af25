//! The look of hopmoor's reports: one self-contained page, light or dark as its reader has it, readable at the width
//! of a phone, with plots drawn into it. No scripts, and nothing from elsewhere.

pub mod plot;
pub mod time;

use maud::{DOCTYPE, Markup, PreEscaped, html};

const STYLE: &str = include_str!("style.css");

/// A whole page. `title` and whatever stands in `body` were escaped when they were made.
pub fn page(title: &str, body: &Markup) -> String {
    let whole = html! {
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
    whole.into_string()
}

/// A figure with its name, for a row of them at the top of a page.
pub fn tile(name: &str, figure: &str, more: &str, bad: bool) -> Markup {
    html! {
        div.tile.bad[bad] {
            span.name { (name) }
            span.figure { (figure) }
            span.more { (more) }
        }
    }
}

/// A part of a whole, as people read it.
pub fn percent(part: f64) -> String {
    let percent = part * 100.0;
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

/// A number with its thousands set apart.
pub fn number(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            text.push('\u{202f}');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}

//! What the console shows and what keys do; knows no terminal.

use super::source::Source;
use hopmoor_incident::Dashboard;
use hopmoor_incident::dashboard::EventLine;
use ratatui::crossterm::event::{KeyCode, KeyEvent, KeyModifiers};
use std::time::Instant;

/// Kinds of events that `f` goes through.
const KINDS: [&str; 10] =
    ["all", "bad", "node", "member", "answer", "flow", "probe", "delay", "move", "doubt"];

/// Keys, as far as they do something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keys {
    /// A character.
    Char(char),
    /// Arrows, with and without shift.
    Left(bool),
    /// See `Left`.
    Right(bool),
    /// One row up.
    Up,
    /// One row down.
    Down,
    /// Older events.
    PageUp,
    /// Newer events.
    PageDown,
    /// The beginning.
    Home,
    /// The end.
    End,
    /// Takes what was typed.
    Enter,
    /// Gives it up.
    Escape,
    /// Takes back a character.
    Backspace,
    /// Ctrl-C.
    Interrupt,
    /// Any other.
    Other,
}

impl Keys {
    /// The terminal's word for a key.
    pub fn of(key: KeyEvent) -> Keys {
        let shift = key.modifiers.contains(KeyModifiers::SHIFT);
        match key.code {
            KeyCode::Char('c') if key.modifiers.contains(KeyModifiers::CONTROL) => Keys::Interrupt,
            KeyCode::Char(key) => Keys::Char(key),
            KeyCode::Left => Keys::Left(shift),
            KeyCode::Right => Keys::Right(shift),
            KeyCode::Up => Keys::Up,
            KeyCode::Down => Keys::Down,
            KeyCode::PageUp => Keys::PageUp,
            KeyCode::PageDown => Keys::PageDown,
            KeyCode::Home => Keys::Home,
            KeyCode::End => Keys::End,
            KeyCode::Enter => Keys::Enter,
            KeyCode::Esc => Keys::Escape,
            KeyCode::Backspace => Keys::Backspace,
            _ => Keys::Other,
        }
    }
}

/// The console.
pub struct App {
    /// Where records come from.
    pub source: Source,
    /// How things stand.
    pub dashboard: Dashboard,
    /// First member shown.
    pub first: usize,
    /// Events back from the newest.
    pub back: usize,
    /// Text that an event must hold.
    pub filter: String,
    /// What is being typed, while it is.
    pub typing: Option<String>,
    /// Whether all keys are shown.
    pub help: bool,
    kind: usize,
    last: Option<Instant>,
    over: bool,
}

impl App {
    /// A console on a source.
    pub fn new(source: Source) -> App {
        App {
            source,
            dashboard: Dashboard::default(),
            first: 0,
            back: 0,
            filter: String::new(),
            typing: None,
            help: false,
            kind: 0,
            last: None,
            over: false,
        }
    }

    /// Whether it was left.
    pub fn over(&self) -> bool {
        self.over
    }

    /// Takes what has come since.
    pub fn advance(&mut self, now: Instant) {
        let passed = self.last.map_or(0.0, |last| now.duration_since(last).as_secs_f64() * 1_000.0);
        self.last = Some(now);
        self.source.advance(passed, &mut self.dashboard);
    }

    /// Goes to a time; earlier ones are read from the beginning again.
    pub fn seek(&mut self, to: f64) {
        if self.source.seek(to, &mut self.dashboard) {
            self.back = 0;
        }
    }

    /// What the filter is called.
    pub fn kind(&self) -> &'static str {
        KINDS[self.kind]
    }

    /// Whether an event is shown.
    pub fn shows(&self, line: &EventLine) -> bool {
        let kind = match self.kind() {
            "all" => true,
            "bad" => line.bad,
            kind => line.kind == kind,
        };
        kind && (self.filter.is_empty()
            || line.text.contains(&self.filter)
            || line.kind.contains(&self.filter)
            || line.node.contains(&self.filter))
    }

    /// A key was pressed.
    pub fn key(&mut self, key: Keys) {
        if key == Keys::Interrupt {
            self.over = true;
            return;
        }
        if let Some(text) = &mut self.typing {
            match key {
                Keys::Char(key) if text.chars().count() < 60 => text.push(key),
                Keys::Backspace => drop(text.pop()),
                Keys::Enter => (self.filter, self.typing, self.back) = (text.clone(), None, 0),
                Keys::Escape => self.typing = None,
                _ => {}
            }
            return;
        }
        let at = self.source.now(&self.dashboard);
        match key {
            Keys::Char('q') => self.over = true,
            Keys::Escape if self.help => self.help = false,
            Keys::Escape => self.filter.clear(),
            Keys::Char('?' | 'h') => self.help = !self.help,
            Keys::Char(' ') => self.source.pause(),
            Keys::Char('+' | '=') => self.source.faster(2.0),
            Keys::Char('-') => self.source.faster(0.5),
            Keys::Char('.') => self.seek(at + 100.0),
            Keys::Right(false) => self.seek(at + 1_000.0),
            Keys::Left(false) => self.seek(at - 1_000.0),
            Keys::Right(true) | Keys::Char('L' | ']') => self.seek(at + 10_000.0),
            Keys::Left(true) | Keys::Char('H' | '[') => self.seek(at - 10_000.0),
            Keys::Home | Keys::Char('g') => self.seek(f64::NEG_INFINITY),
            Keys::End | Keys::Char('G') => self.seek(f64::INFINITY),
            Keys::Char('f') => (self.kind, self.back) = ((self.kind + 1) % KINDS.len(), 0),
            Keys::Char('/') => self.typing = Some(String::new()),
            Keys::Up | Keys::Char('k') => self.first = self.first.saturating_sub(1),
            Keys::Down | Keys::Char('j') => {
                self.first = (self.first + 1).min(self.dashboard.members.len().saturating_sub(1));
            }
            Keys::PageUp => self.back = (self.back + 5).min(self.dashboard.lines.len()),
            Keys::PageDown => self.back = self.back.saturating_sub(5),
            _ => {}
        }
    }
}

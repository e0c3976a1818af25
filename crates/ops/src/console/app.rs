//! State of the console and its key bindings, independent of the terminal.

use super::source::Source;
use hopmoor_incident::Dashboard;
use hopmoor_incident::dashboard::EventLine;
use ratatui::crossterm::event::{KeyCode, KeyEvent, KeyModifiers};
use std::time::Instant;

/// Event filters that `f` cycles through; all but `all` and `bad` are values of [`EventLine::kind`].
const EVENT_FILTERS: [&str; 10] =
    ["all", "bad", "node", "member", "answer", "flow", "probe", "delay", "move", "doubt"];

/// A key press, reduced to what the console tells apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyInput {
    /// A character.
    Char(char),
    /// Left arrow; `true` with Shift.
    Left(bool),
    /// Right arrow; `true` with Shift.
    Right(bool),
    /// Up arrow.
    Up,
    /// Down arrow.
    Down,
    /// Page Up.
    PageUp,
    /// Page Down.
    PageDown,
    Home,
    End,
    Enter,
    Escape,
    Backspace,
    /// Ctrl-C.
    Interrupt,
    /// Any key without a binding.
    Other,
}

impl KeyInput {
    /// Converts the terminal's key event.
    pub fn from_event(key: KeyEvent) -> KeyInput {
        let shift = key.modifiers.contains(KeyModifiers::SHIFT);
        match key.code {
            KeyCode::Char('c') if key.modifiers.contains(KeyModifiers::CONTROL) => KeyInput::Interrupt,
            KeyCode::Char(key) => KeyInput::Char(key),
            KeyCode::Left => KeyInput::Left(shift),
            KeyCode::Right => KeyInput::Right(shift),
            KeyCode::Up => KeyInput::Up,
            KeyCode::Down => KeyInput::Down,
            KeyCode::PageUp => KeyInput::PageUp,
            KeyCode::PageDown => KeyInput::PageDown,
            KeyCode::Home => KeyInput::Home,
            KeyCode::End => KeyInput::End,
            KeyCode::Enter => KeyInput::Enter,
            KeyCode::Esc => KeyInput::Escape,
            KeyCode::Backspace => KeyInput::Backspace,
            _ => KeyInput::Other,
        }
    }
}

/// State of the console.
pub struct App {
    /// Where records are read from.
    pub source: Source,
    /// State of nodes, members and tenants at the time shown.
    pub dashboard: Dashboard,
    /// Index of the first member row shown.
    pub first_member: usize,
    /// Number of newest matching events scrolled past.
    pub scroll_back: usize,
    /// Text that an event must contain to be shown; empty for all.
    pub filter: String,
    /// The filter text being typed; `None` outside filter input.
    pub filter_input: Option<String>,
    /// Whether the list of all keys is shown.
    pub show_help: bool,
    /// Index into [`EVENT_FILTERS`].
    filter_index: usize,
    last_advance: Option<Instant>,
    quit: bool,
}

impl App {
    /// Creates a console that shows records of `source`.
    pub fn new(source: Source) -> App {
        App {
            source,
            dashboard: Dashboard::default(),
            first_member: 0,
            scroll_back: 0,
            filter: String::new(),
            filter_input: None,
            show_help: false,
            filter_index: 0,
            last_advance: None,
            quit: false,
        }
    }

    /// Whether the operator asked to quit.
    pub fn should_quit(&self) -> bool {
        self.quit
    }

    /// Advances a replay by the time passed since the last call, or reads what nodes have written since.
    pub fn advance(&mut self, now: Instant) {
        let passed_ms =
            self.last_advance.map_or(0.0, |last| now.duration_since(last).as_secs_f64() * 1_000.0);
        self.last_advance = Some(now);
        self.source.advance(passed_ms, &mut self.dashboard);
    }

    /// Moves a replay to a time in Unix milliseconds; going back reads the records from the beginning again.
    pub fn seek(&mut self, to_ms: f64) {
        if self.source.seek(to_ms, &mut self.dashboard) {
            self.scroll_back = 0;
        }
    }

    /// Name of the current event filter.
    pub fn event_filter(&self) -> &'static str {
        EVENT_FILTERS[self.filter_index]
    }

    /// Whether an event passes both the event filter and the text filter.
    pub fn is_shown(&self, line: &EventLine) -> bool {
        let kind_matches = match self.event_filter() {
            "all" => true,
            "bad" => line.bad,
            kind => line.kind == kind,
        };
        kind_matches
            && (self.filter.is_empty()
                || line.text.contains(&self.filter)
                || line.kind.contains(&self.filter)
                || line.node.contains(&self.filter))
    }

    /// Handles a key press.
    pub fn handle_key(&mut self, key: KeyInput) {
        if key == KeyInput::Interrupt {
            self.quit = true;
            return;
        }
        if let Some(text) = &mut self.filter_input {
            match key {
                KeyInput::Char(key) if text.chars().count() < 60 => text.push(key),
                KeyInput::Backspace => drop(text.pop()),
                KeyInput::Enter => {
                    (self.filter, self.filter_input, self.scroll_back) = (text.clone(), None, 0)
                }
                KeyInput::Escape => self.filter_input = None,
                _ => {}
            }
            return;
        }
        let now_ms = self.source.now(&self.dashboard);
        match key {
            KeyInput::Char('q') => self.quit = true,
            KeyInput::Escape if self.show_help => self.show_help = false,
            KeyInput::Escape => self.filter.clear(),
            KeyInput::Char('?' | 'h') => self.show_help = !self.show_help,
            KeyInput::Char(' ') => self.source.toggle_pause(),
            KeyInput::Char('+' | '=') => self.source.multiply_speed(2.0),
            KeyInput::Char('-') => self.source.multiply_speed(0.5),
            KeyInput::Char('.') => self.seek(now_ms + 100.0),
            KeyInput::Right(false) => self.seek(now_ms + 1_000.0),
            KeyInput::Left(false) => self.seek(now_ms - 1_000.0),
            KeyInput::Right(true) | KeyInput::Char('L' | ']') => self.seek(now_ms + 10_000.0),
            KeyInput::Left(true) | KeyInput::Char('H' | '[') => self.seek(now_ms - 10_000.0),
            KeyInput::Home | KeyInput::Char('g') => self.seek(f64::NEG_INFINITY),
            KeyInput::End | KeyInput::Char('G') => self.seek(f64::INFINITY),
            KeyInput::Char('f') => {
                (self.filter_index, self.scroll_back) = ((self.filter_index + 1) % EVENT_FILTERS.len(), 0)
            }
            KeyInput::Char('/') => self.filter_input = Some(String::new()),
            KeyInput::Up | KeyInput::Char('k') => self.first_member = self.first_member.saturating_sub(1),
            KeyInput::Down | KeyInput::Char('j') => {
                self.first_member =
                    (self.first_member + 1).min(self.dashboard.members.len().saturating_sub(1));
            }
            KeyInput::PageUp => self.scroll_back = (self.scroll_back + 5).min(self.dashboard.lines.len()),
            KeyInput::PageDown => self.scroll_back = self.scroll_back.saturating_sub(5),
            _ => {}
        }
    }
}

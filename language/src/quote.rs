use std::fmt;

/// Text that is displayed in quotation marks unless the grammar accepts it as a plain word.
pub(crate) struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if is_plain(self.0) {
            return f.write_str(self.0);
        }
        write!(
            f,
            "\"{}\"",
            self.0.replace('\\', "\\\\").replace('"', "\\\"")
        )
    }
}

/// Resolves the escapes in the text between quotation marks.
pub(crate) fn unescape(inner: &str) -> String {
    let mut text = String::with_capacity(inner.len());
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        text.extend(if c == '\\' { chars.next() } else { Some(c) });
    }
    text
}

fn is_plain(text: &str) -> bool {
    !text.is_empty() && !text.contains(is_special)
}

fn is_special(c: char) -> bool {
    c.is_ascii_control() || matches!(c, ' ' | ',' | '=' | '!' | '"')
}

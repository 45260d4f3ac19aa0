//! Plain text tables.

/// The number of spaces between two columns.
const GAP: usize = 2;

/// Rows under a header, each column as wide as its widest cell.
///
/// ```
/// use corianderfork_cli::table::Table;
///
/// let mut table = Table::new(["VM", "POOL"]);
/// table.row(["v01", "registry"]);
/// assert_eq!(table.to_string(), "VM   POOL\nv01  registry\n");
/// ```
#[derive(Clone, Debug)]
pub struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// Creates a table with the given column names.
    pub fn new(names: [&str; N]) -> Self {
        Self { rows: vec![names.map(str::to_owned)] }
    }

    /// Adds a row.
    pub fn row<T: ToString>(&mut self, cells: [T; N]) {
        self.rows.push(cells.map(|cell| plain(&cell.to_string())));
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or_default()
    }
}

/// Replaces control characters by spaces. Reasons and notes are free text: a line
/// break in one would look like a separate row, and an escape sequence could hide
/// other rows.
pub fn plain(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

impl<const N: usize> std::fmt::Display for Table<N> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let widths: Vec<usize> = (0..N).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: String =
                cells.map(|(cell, width)| format!("{cell:<width$}{:GAP$}", "")).collect();
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

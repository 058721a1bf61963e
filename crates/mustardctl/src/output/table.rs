//! Tables with aligned columns.

/// A table with a header.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table without rows; the header is shown in capitals.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        Self {
            rows: vec![header.map(str::to_uppercase).to_vec()],
        }
    }

    /// Adds a row.
    pub fn push<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }

    /// Returns the text of the table, with each column as wide as its widest cell.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let lines = self.rows.iter().map(|row| {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

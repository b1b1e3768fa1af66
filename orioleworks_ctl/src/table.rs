//! Plain tables.

/// Renders rows under their headings, with two spaces between columns and no trailing spaces.
pub fn render(headings: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|c| c.chars().count());
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded: Vec<String> =
            cells.zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        padded.join("  ").trim_end().to_owned() + "\n"
    };
    let mut text = line(&mut headings.iter().copied());
    for row in rows {
        text += &line(&mut row.iter().map(|cell| if cell.is_empty() { "-" } else { cell }));
    }
    text
}

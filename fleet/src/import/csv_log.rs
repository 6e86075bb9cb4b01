//! Reads logs of comma-separated values with a header line.

use super::row::Row;
use super::{ImportError, Importer};
use csv::StringRecord;
use otterwinch_traffic_capture::RequestRecord;
use std::collections::BTreeMap;
use std::io::{self, Read};

struct CsvRow<'a> {
    fields: &'a StringRecord,
    /// The index of each column by its name.
    positions: &'a BTreeMap<&'a str, usize>,
}

impl Row for CsvRow<'_> {
    fn value(&self, column: &str) -> Option<String> {
        let field = self.fields.get(*self.positions.get(column)?)?;
        (!field.is_empty()).then(|| field.to_owned())
    }
}

/// Imports all rows of a CSV log.
pub(super) fn import_rows<S: FnMut(RequestRecord) -> io::Result<()>>(
    log: impl Read,
    importer: &mut Importer<S>,
) -> Result<(), ImportError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).flexible(true).from_reader(log);
    let header = reader.headers().map_err(ImportError::InvalidHeader)?.clone();
    require_columns(&header, importer)?;
    let positions = header.iter().enumerate().map(|(position, column)| (column, position)).collect();
    let mut fields = StringRecord::new();
    loop {
        match reader.read_record(&mut fields) {
            Ok(false) => return Ok(()),
            Ok(true) => {
                let line = fields.position().map_or(0, csv::Position::line);
                importer.import_row(line, &CsvRow { fields: &fields, positions: &positions })?;
            }
            Err(source) => {
                let line = source.position().map_or(0, csv::Position::line);
                return Err(ImportError::InvalidCsv { line, source });
            }
        }
    }
}

fn require_columns<S>(header: &StringRecord, importer: &Importer<S>) -> Result<(), ImportError> {
    let columns = &importer.options.columns;
    for column in [&columns.at, &columns.request_class] {
        if !header.iter().any(|name| name == column) {
            let available = header.iter().collect::<Vec<_>>().join(", ");
            return Err(ImportError::MissingColumn { column: column.clone(), available });
        }
    }
    Ok(())
}
